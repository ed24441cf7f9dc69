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

	/// Reads a state chart and starts it. It enters its initial state from the event loop; events submitted before are
	/// kept.
	/// \param directory	Folder with the charts.
	/// \param name			File name without `.scxml`.
	/// \param states		States that the chart must have.
	/// \returns			The running chart, or what is wrong with the file.
	[[nodiscard]] result<chart> load_chart(const std::string& directory, const std::string& name,
										   const std::vector<std::string>& states);

	/// Returns the folder with the charts: the setting if given, otherwise the installed one.
	[[nodiscard]] std::string chart_directory(const std::string& setting);

	/// Submits an event and lets the chart process it.
	void submit_event(QScxmlStateMachine& machine, const char* event);

	/// Calls a function after each change of the active state, the initial one included.
	/// \param changed	Gets the earlier and the new state.
	void on_state_change(QScxmlStateMachine& machine,
						 std::function<void(const std::string&, const std::string&)> changed);

	/// Returns the name of the active state.
	[[nodiscard]] std::string active_state(const QScxmlStateMachine& machine);
}
