#pragma once

#include "nutmegturn/error.hpp"

#include <QScxmlStateMachine>
#include <QString>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegturn::runtime
{
	/// Interpreted state chart.
	using chart = std::unique_ptr<QScxmlStateMachine>;

	/// Loads and starts a state chart. The chart enters its initial state in the event loop; earlier events are queued.
	/// \param directory	Directory of the charts.
	/// \param name			File name without `.scxml`.
	/// \param states		States that the chart must define.
	/// \returns			The running chart, or an error that describes the fault in the file.
	[[nodiscard]] result<chart> load_chart(const std::string& directory, const std::string& name,
										   const std::vector<std::string>& states);

	/// Returns the directory of the charts: the setting if it is not empty, otherwise the installation directory.
	[[nodiscard]] std::string chart_directory(const std::string& setting);

	/// Submits an event to a state chart for processing.
	void submit_event(QScxmlStateMachine& machine, const char* event);

	/// Registers a callback for changes of the active state, including entry of the initial state.
	/// \param callback	Receives the previous and the new state.
	void on_state_change(QScxmlStateMachine& machine,
						 std::function<void(const std::string&, const std::string&)> callback);

	/// Returns the name of the active state.
	[[nodiscard]] std::string active_state(const QScxmlStateMachine& machine);
}
