#include "scenario/script.hpp"

#include "scenario/script_host.hpp"

#include <QFile>
#include <QJSEngine>
#include <QJSValue>
#include <QJsonDocument>
#include <QJsonObject>
#include <QMetaMethod>
#include <QString>

#include <fmt/format.h>

#include <cmath>

namespace nutmegturn::scenario
{
	namespace
	{
		/// Script functions built from those of `script_host`.
		constexpr const char* prelude = R"js(
			function change(key, fields) { publish(key, Object.assign(record(key), fields)); }
			function drain(key) { change(key, record(key).schema == 1 ? {enabled: false} : {state: "draining"}); }
			function undrain(key) { change(key, record(key).schema == 1 ? {enabled: true} : {state: "serving"}); }
			function zone_out(key) { change(key, record(key).schema == 1 ? {enabled: false} : {state: "out"}); }
			function zone_in(key) { change(key, record(key).schema == 1 ? {enabled: true} : {state: "in"}); }
			function resize(service, connections) {
				for (const agent of processes(`agent-${service}-`)) {
					change(agent.replace("agent", "upstream"), {connections});
					restart(agent); // an agent sizes its flow table when it starts
				}
			}
			function remove(key) { publish(key, null); }
			function pick(list) { return list[random_below(list.length)]; }
		)js";

		void define_globals(QJSEngine& engine, script_host& host)
		{
			QJSEngine::setObjectOwnership(&host, QJSEngine::CppOwnership);
			engine.globalObject().setProperty("host", engine.newQObject(&host));
			const auto& meta = *host.metaObject();
			for (int i = meta.methodOffset(); i < meta.methodCount(); ++i)
			{
				const auto name = QString::fromLatin1(meta.method(i).name());
				engine.globalObject().setProperty(
					name, engine.evaluate(QString{"((...args) => host.%1(...args))"}.arg(name)));
			}
			engine.evaluate(prelude);
		}
	}

	run_result run_scenario(const std::filesystem::path& file, const run_options& options)
	{
		run_result result;
		result.scenario = file.stem().string();
		result.seed = options.seed;
		QFile in{QString::fromStdString(file.string())};
		if (!in.open(QIODevice::ReadOnly))
		{
			result.failure = fmt::format("{}: {}", file.string(), in.errorString().toStdString());
			return result;
		}
		QJSEngine engine;
		script_host host{engine, options};
		define_globals(engine, host);
		const auto outcome = engine.evaluate(QString::fromUtf8(in.readAll()), in.fileName());
		if (outcome.isError())
		{
			result.failure = fmt::format("{}:{}: {}", file.string(), outcome.property("lineNumber").toInt(),
										 outcome.toString().toStdString());
		}
		else
		{
			host.check_invariants();
			result.failure = host.failure();
		}
		auto& state = host.simulated_world();
		result.counts = state.counts;
		result.samples = std::move(state.samples);
		result.trace.assign(state.trace.begin(), state.trace.end());
		return result;
	}

	std::string to_json_line(const run_result& result)
	{
		// Formatted directly because QJsonObject would sort the fields.
		auto out = fmt::format(R"({{"scenario":"{}","seed":{},"result":)", result.scenario, result.seed);
		const auto verdict = result.failure.empty() ? std::string{"pass"} : result.failure;
		const auto quoted =
			QJsonDocument{QJsonObject{{"r", QString::fromStdString(verdict)}}}.toJson(QJsonDocument::Compact);
		out += quoted.mid(5, quoted.size() - 6).toStdString();
		for (const auto& [name, value] : named_counts(result.counts))
		{
			out += fmt::format(R"(,"{}":{})", name, std::round(value * 1000) / 1000);
		}
		return out + "}";
	}
}
