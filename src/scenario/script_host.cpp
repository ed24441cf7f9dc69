#include "scenario/script_host.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>

namespace nutmegturn::scenario
{
	namespace
	{
		/// Counts that must be zero by invariants 1, 2, 3, 5, 6, 7, 9 and 10 of the design.
		constexpr std::array<const char*, 9> zero_counts{"broken_flows",      "misdelivered",  "duplicate_runs",
														 "false_not_run",     "wrong_answers", "cut_requests",
														 "config_reversions", "overloads",     "stale_forwards"};

		std::chrono::milliseconds ms_option(const QVariantMap& options, const char* name, double otherwise)
		{
			return std::chrono::milliseconds{
				static_cast<std::int64_t>(options.value(QString::fromLatin1(name), otherwise).toDouble())};
		}

		monotonic_clock::duration from_seconds(double seconds)
		{
			return std::chrono::duration_cast<monotonic_clock::duration>(std::chrono::duration<double>{seconds});
		}

		bool holds(double value, const QString& op, double bound)
		{
			return (op == "==" && value == bound) || (op == "<=" && value <= bound) || (op == ">=" && value >= bound) ||
				   (op == "<" && value < bound) || (op == ">" && value > bound);
		}
	}

	script_host::script_host(QJSEngine& engine, const run_options& options)
		: engine_{engine}, options_{options}, world_{options.seed}
	{
		world_.print_trace = options.trace;
	}

	void script_host::check_invariants()
	{
		refresh_counts();
		for (const auto* name : zero_counts)
		{
			if (!allowed_.contains(name))
			{
				expect(name, "==", 0);
			}
		}
	}

	void script_host::control_plane()
	{
		world_.control.enabled = true;
		const std::vector<shared_key> keys{{1, {}}};
		world_.control.keys = *make_key_ring(keys);
		for (int i = 1; i <= 4; ++i)
		{
			world_.seeds.push_back(*parse_endpoint(fmt::format("127.30.0.{}:7200", i + 1)));
		}
	}

	void script_host::deploy(const QString& name)
	{
		const auto error = scenario::deploy(world_, options_.examples / name.toStdString() / "records");
		if (!error.empty())
		{
			fail(QString::fromStdString(error));
		}
	}

	void script_host::balancers(int n)
	{
		add_balancers(world_, static_cast<std::size_t>(n));
	}

	void script_host::publish(const QString& key, const QJSValue& value)
	{
		std::optional<std::string> text;
		if (!value.isNull())
		{
			const auto object = QJsonObject::fromVariantMap(value.toVariant().toMap());
			text = QJsonDocument{object}.toJson(QJsonDocument::Compact).toStdString();
		}
		scenario::publish(world_, key.toStdString(), std::move(text));
	}

	double script_host::newest_revision() const
	{
		return static_cast<double>(to_number(world_.service.newest()));
	}

	QVariantMap script_host::record(const QString& key)
	{
		const auto it = world_.records.records.find(key.toStdString());
		if (it == world_.records.records.end() || it->second.versions.empty() ||
			!it->second.versions.rbegin()->second.value)
		{
			fail("unknown record " + key);
			return {};
		}
		const auto& text = *it->second.versions.rbegin()->second.value;
		return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object().toVariantMap();
	}

	void script_host::view_delays(const QVariantMap& options)
	{
		world_.delays.records = ms_option(options, "records_ms", 8'000);
		world_.delays.deaths = ms_option(options, "deaths_ms", 3'000);
	}

	void script_host::flows(const QString& service, const QVariantMap& options)
	{
		const auto* config = require_service(service);
		if (config == nullptr)
		{
			return;
		}
		flow_load load;
		load.count = options.value("count", 1).toULongLong();
		load.rate = options.value("rate", 1'000).toDouble();
		load.interval = ms_option(options, "interval_ms", 1'000);
		load.lifetime = ms_option(options, "lifetime_s", 0) * 1'000;
		start_flows(world_, config->addresses.front(), config->id, load);
	}

	void script_host::requests(const QString& service, const QVariantMap& options)
	{
		const auto* config = require_service(service);
		if (config == nullptr)
		{
			return;
		}
		request_load load;
		load.method = options.value("method", "GET").toString().toStdString();
		load.rate = options.value("rate", 10).toDouble();
		load.callers = options.value("callers", 8).toULongLong();
		load.duration = ms_option(options, "duration_s", 0) * 1'000;
		if (options.contains("groups"))
		{
			load.groups.clear();
			for (const auto& it : options.value("groups").toList())
			{
				load.groups.push_back(it.toDouble());
			}
		}
		start_requests(world_, *config, load);
	}

	void script_host::upstream_model(const QVariantMap& options)
	{
		auto& model = world_.callers.model;
		model.cold_share = options.value("cold_share", model.cold_share).toDouble();
		model.warm_up = ms_option(options, "warm_up_ms", static_cast<double>(model.warm_up.count()));
		model.service_time = ms_option(options, "service_time_ms", static_cast<double>(model.service_time.count()));
	}

	void script_host::oracle(bool on)
	{
		world_.callers.oracle = on;
	}

	void script_host::run(double seconds)
	{
		const auto end = world_.queue.now() + from_seconds(seconds);
		while (world_.queue.now() < end)
		{
			world_.queue.run_until(
				std::min(end, world_.queue.now() + monotonic_clock::duration{std::chrono::seconds{1}}));
			const auto violation =
				ledger_find_stalled(world_.ledger, world_.processes, world_.queue.now(), world_.counts);
			if (!violation.empty())
			{
				record_violation(world_, violation);
			}
		}
	}

	double script_host::capacity(const QString& name)
	{
		const auto* it = require_upstream(name);
		return it == nullptr ? 0 : it->capacity(world_.queue.now());
	}

	double script_host::in_progress(const QString& name)
	{
		const auto* it = require_upstream(name);
		return it == nullptr ? 0 : static_cast<double>(it->in_progress());
	}

	double script_host::work_done(const QString& name)
	{
		const auto* it = require_upstream(name);
		return it == nullptr ? 0 : it->work_done();
	}

	double script_host::fairness(const QString& of)
	{
		return scenario::fairness(world_, of.toStdString());
	}

	QStringList script_host::processes(const QString& prefix)
	{
		QStringList out;
		for (const auto& it : world_.processes)
		{
			const auto name = QString::fromStdString(it->info.name);
			if (name.startsWith(prefix))
			{
				out.append(name);
			}
		}
		return out;
	}

	double script_host::now() const
	{
		return std::chrono::duration<double>{world_.queue.now().time_since_epoch() - std::chrono::hours{1}}.count();
	}

	double script_host::count(const QString& name)
	{
		refresh_counts();
		for (const auto& [known, value] : named_counts(world_.counts))
		{
			if (name == QString::fromStdString(known))
			{
				return value;
			}
		}
		fail("unknown count " + name);
		return 0;
	}

	void script_host::measure_control()
	{
		world_.control.balancer_bytes = 0;
		world_.control.measured_since = world_.queue.now();
	}

	double script_host::drops(const QString& reason_name)
	{
		for (const auto& [why, n] : world_.drops)
		{
			if (reason_name.toStdString() == to_string(why))
			{
				return static_cast<double>(n);
			}
		}
		return 0;
	}

	double script_host::imbalance(const QString& service)
	{
		const auto* config = require_service(service);
		const double value = config == nullptr ? 0 : flow_imbalance(world_, config->id);
		world_.counts.imbalance_flows = std::max(world_.counts.imbalance_flows, value);
		return value;
	}

	void script_host::sample(const QString& series, double value)
	{
		world_.samples.push_back({now(), series.toStdString(), value});
	}

	void script_host::log(const QString& text)
	{
		append_trace(world_, text.toStdString());
	}

	void script_host::expect(const QString& name, const QString& op, double bound)
	{
		check(name, count(name), op, bound);
	}

	void script_host::check(const QString& label, double value, const QString& op, double bound)
	{
		if (holds(value, op, bound))
		{
			return;
		}
		const auto text = fmt::format("{} {} {}", label.toStdString(), op.toStdString(), bound);
		append_trace(world_, fmt::format("check failed: {}, was {}", text, value));
		if (failure_.empty())
		{
			failure_ = text;
		}
	}

	void script_host::allow(const QString& name)
	{
		allowed_.insert(name.toStdString());
	}

	double script_host::random()
	{
		return world_.random.uniform();
	}

	int script_host::random_below(int n)
	{
		return static_cast<int>(world_.random.below(static_cast<std::uint64_t>(std::max(n, 0))));
	}

	double script_host::param(const QString& name, double otherwise)
	{
		const auto it = options_.parameters.find(name.toStdString());
		if (it == options_.parameters.end())
		{
			return otherwise;
		}
		bool ok = false;
		const double value = QString::fromStdString(it->second).toDouble(&ok);
		if (!ok)
		{
			fail("parameter " + name + " is not a number");
		}
		return value;
	}

	process* script_host::require(const QString& name)
	{
		auto* it = find_process(world_, name.toStdString());
		if (it == nullptr)
		{
			fail("unknown process " + name);
		}
		return it;
	}

	fake_upstream* script_host::require_upstream(const QString& name)
	{
		auto* it = require(name);
		if (it != nullptr && !it->requests)
		{
			fail(name + " has no simulated upstream: it is no agent of a CoAP service, or requests() was not called");
		}
		return it != nullptr && it->requests ? it->requests->upstream.get() : nullptr;
	}

	const service_config* script_host::require_service(const QString& name)
	{
		const auto suffix = "/" + name.toStdString();
		const auto& services = world_.records.current.services;
		const auto it = std::ranges::find_if(services, [&](const auto& s) { return s.name.ends_with(suffix); });
		if (it == services.end())
		{
			fail("unknown service " + name);
			return nullptr;
		}
		return &*it;
	}

	void script_host::fail(const QString& message)
	{
		engine_.throwError(message);
	}

	void script_host::refresh_counts()
	{
		auto& counts = world_.counts;
		count_request_violations(world_);
		counts.config_reads_per_s = static_cast<double>(world_.service.peak_reads());
		const auto since = std::max(world_.control.measured_since, monotonic_time{std::chrono::hours{1}});
		const double elapsed = std::chrono::duration<double>{world_.queue.now() - since}.count();
		const auto balancers = static_cast<double>(world_.balancers);
		counts.control_bytes_per_s_per_balancer =
			elapsed > 0 && balancers > 0 ? static_cast<double>(world_.control.balancer_bytes) / elapsed / balancers : 0;
	}
}
