#include "runtime/chart.hpp"

#include <QFile>
#include <QScxmlError>

#include <utility>

namespace nutmegturn::runtime
{
	result<chart> load_chart(const std::string& directory, const std::string& name,
							 const std::vector<std::string>& states)
	{
		const std::string path = directory + "/" + name + ".scxml";
		if (!QFile::exists(QString::fromStdString(path)))
		{
			return parse_error{path, "", "no such file", "a state chart"};
		}
		chart machine{QScxmlStateMachine::fromFile(QString::fromStdString(path))};
		const auto errors = machine->parseErrors();
		if (!errors.isEmpty())
		{
			return parse_error{path, "line " + std::to_string(errors.front().line()),
							   errors.front().description().toStdString(), "a valid state chart"};
		}
		const auto found = machine->stateNames(false);
		for (const auto& state : states)
		{
			if (!found.contains(QString::fromStdString(state)))
			{
				return parse_error{path, "state", "missing", "a state named " + state};
			}
		}
		if (!machine->init())
		{
			return parse_error{path, "datamodel", "not initialised", "a chart without a data model"};
		}
		machine->start();
		return machine;
	}

	std::string chart_directory(const std::string& setting)
	{
		return setting.empty() ? NUTMEGTURN_CHART_DIR : setting;
	}

	void submit_event(QScxmlStateMachine& machine, const char* event)
	{
		machine.submitEvent(QString::fromLatin1(event));
	}

	void on_state_change(QScxmlStateMachine& machine,
						 std::function<void(const std::string&, const std::string&)> callback)
	{
		QObject::connect(&machine, &QScxmlStateMachine::reachedStableState, &machine,
						 [&machine, before = active_state(machine), callback = std::move(callback)]() mutable
						 {
							 auto now = active_state(machine);
							 if (now != before)
							 {
								 callback(std::exchange(before, now), now);
							 }
						 });
	}

	std::string active_state(const QScxmlStateMachine& machine)
	{
		const auto names = machine.activeStateNames(true);
		return names.isEmpty() ? std::string{} : names.front().toStdString();
	}
}
