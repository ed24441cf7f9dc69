#include "runtime/control_plane.hpp"

#include "runtime/http.hpp"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QUrlQuery>

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>

namespace nutmegturn::runtime
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Interval between reads of the instance list by a process that also reads the configuration service.
		constexpr auto instance_list_interval = 1s;

		/// Total instance list reads per second of all other processes. Their interval is proportional to the number of
		/// members, so the load on the service does not grow with the deployment.
		constexpr std::uint64_t max_list_reads_per_second = 100;

		[[nodiscard]] std::uint64_t random_number()
		{
			std::uint64_t bits = 0;
			randombytes_buf(&bits, sizeof bits);
			return bits;
		}

		[[nodiscard]] const char* name_of(member_liveness liveness) noexcept
		{
			switch (liveness)
			{
				case member_liveness::alive:
					return "alive";
				case member_liveness::suspect:
					return "suspect";
				case member_liveness::leaving:
					return "leaving";
				case member_liveness::dead:
					return "dead";
			}
			return "unknown";
		}
	}

	result<settings> read_settings(const std::string& path)
	{
		QFile file{QString::fromStdString(path)};
		if (!file.open(QIODevice::ReadOnly))
		{
			return parse_error{path, "", file.errorString().toStdString(), "a readable file"};
		}
		return parse_settings(path, file.read(static_cast<qint64>(max_settings_size) + 1).toStdString());
	}

	control_plane::control_plane(const settings& config, traffic_shared_state& traffic, control_hooks hooks)
		: settings_{config}, traffic_{traffic}, hooks_{std::move(hooks)}, self_{make_id<member_id>(config.name)},
		  process_incarnation_{random_number()}, random_{random_number()}, log_{config.level, config.log_json},
		  client_{config.config_services, config.instance_list}, receive_batch_{64}, pause_{read_clock()}
	{
		member own;
		own.id = self_;
		own.name = config.name;
		own.role = config.role;
		own.zone = config.zone;
		own.control = config.control;
		own.data = config.data;
		own.process_incarnation = process_incarnation_;
		membership_settings limits;
		limits.seeds = config.seeds;
		membership_ = make_membership(std::move(own), std::move(limits));
		relay_ = make_relay(membership_.self);
		source_.changes_since = [this](revision after) { return config_store_changes_since(store_, after); };
		members_ = make_member_view(membership_);
		shards_.push_back(&metrics_);
	}

	result<std::unique_ptr<control_plane>, std::string>
	control_plane::open(const settings& config, traffic_shared_state& traffic, control_hooks hooks)
	{
		if (sodium_init() < 0)
		{
			return std::string{"libsodium cannot be initialised"};
		}
		std::unique_ptr<control_plane> plane{new control_plane{config, traffic, std::move(hooks)}};
		const auto ring = make_key_ring(config.keys, !config.require_authentication);
		if (!ring)
		{
			return std::string{"duplicate key id in the settings"};
		}
		plane->keys_ = *ring;

		const auto folder = chart_directory(config.chart_directory);
		auto process = load_chart(folder, "process", {"starting", "running", "paused", "draining", "stopped"});
		if (!has_value(process))
		{
			return to_string(std::get<1>(process));
		}
		plane->process_ = std::get<0>(std::move(process));
		// Validates the chart at startup; each zone loads its own copy later.
		const auto zone = load_chart(folder, "zone", {"in", "out"});
		if (!has_value(zone))
		{
			return to_string(std::get<1>(zone));
		}
		plane->zone_chart_directory_ = folder;

		auto socket = open_udp(config.control);
		if (!has_value(socket))
		{
			return std::get<1>(std::move(socket));
		}
		plane->socket_ = std::get<0>(std::move(socket));
		if (config.http)
		{
			plane->add_routes();
			const auto port = listen_http(plane->http_, *config.http);
			if (!has_value(port))
			{
				return std::get<1>(port);
			}
		}
		return plane;
	}

	void control_plane::start()
	{
		on_state_change(*process_,
						[this](const std::string& before, const std::string& after) {
							audit({audit_kind::process_state, settings_.name, before + " -> " + after, store_.newest});
						});
		notifier_ = std::make_unique<QSocketNotifier>(socket_.get(), QSocketNotifier::Read);
		QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] { read_socket(); });
		revision_notifier_ = std::make_unique<QSocketNotifier>(traffic_.newer_revision.fd(), QSocketNotifier::Read);
		QObject::connect(revision_notifier_.get(), &QSocketNotifier::activated,
						 [this]
						 {
							 traffic_.newer_revision.clear();
							 relay_on_digest(relay_, revision{traffic_.newest_seen.load()});
						 });
		QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
		timer_.start(tick_interval);
		tick();
	}

	void control_plane::add_routes()
	{
		using method = QHttpServerRequest::Method;
		http_.route("/metrics", method::Get,
					[this]
					{
						const metrics_snapshot snapshot{shards_};
						return QHttpServerResponse{"text/plain; version=0.0.4",
												   QByteArray::fromStdString(snapshot.to_prometheus())};
					});
		http_.route(
			"/status", method::Get,
			[this] {
				return QHttpServerResponse{"application/json", QJsonDocument{status()}.toJson(QJsonDocument::Compact)};
			});
		http_.route("/audit", method::Get,
					[this](const QHttpServerRequest& request)
					{
						const auto query = request.query();
						bool limited = false;
						const auto limit = query.queryItemValue("limit").toULongLong(&limited);
						const auto after = query.queryItemValue("after").toULongLong();
						return QHttpServerResponse{
							"application/json",
							QByteArray::fromStdString(audit_.to_json(after, limited ? limit : audit_log::max_entries))};
					});
	}

	QJsonObject control_plane::status() const
	{
		const auto now = read_clock();
		QJsonArray members;
		for (const auto& it : members_.members)
		{
			members.append(QJsonObject{{"name", QString::fromStdString(it.name)},
									   {"role", it.role == member_role::agent ? "agent" : "balancer"},
									   {"zone", QString::fromStdString(it.zone)},
									   {"control", QString::fromStdString(to_string(it.control))},
									   {"liveness", name_of(it.liveness)},
									   {"era", static_cast<qint64>(era_of(it.newest))},
									   {"revision", static_cast<qint64>(number_of(it.newest))}});
		}
		QJsonObject zones;
		for (const auto& it : store_.current.zones)
		{
			const auto machine = zones_.find(it.id);
			zones[QString::fromStdString(it.name)] =
				machine == zones_.end() ? "" : QString::fromStdString(active_state(*machine->second));
		}
		const bool confirmed = relay_.confirmed_at != monotonic_time{};
		QJsonObject object{
			{"name", QString::fromStdString(settings_.name)},
			{"role", settings_.role == member_role::agent ? "agent" : "balancer"},
			{"zone", QString::fromStdString(settings_.zone)},
			{"state", QString::fromStdString(process_state())},
			{"era", static_cast<qint64>(era_of(store_.newest))},
			{"revision", static_cast<qint64>(number_of(store_.newest))},
			{"reader", relay_.is_reader},
			{"confirmed_age_ms",
			 confirmed ? QJsonValue{static_cast<qint64>(
							 std::chrono::duration_cast<std::chrono::milliseconds>(now - relay_.confirmed_at).count())}
					   : QJsonValue{}},
			{"zones", zones},
			{"members", members}};
		if (hooks_.add_status)
		{
			hooks_.add_status(object);
		}
		return object;
	}

	void control_plane::add_shard(const metrics_shard* shard)
	{
		shards_.push_back(shard);
	}

	void control_plane::log(log_level level, std::string_view name, std::string text,
							std::vector<std::pair<std::string_view, std::string>> fields)
	{
		log_.write({level, name, std::move(text), std::move(fields)});
	}

	void control_plane::audit(audit_event event)
	{
		log(log_level::info, to_string(event.kind), event.detail,
			{{"subject", event.subject},
			 {"revision", to_string(event.rev)},
			 {"reason", std::string{to_string(event.why)}}});
		audit_.append(std::move(event), read_wall_clock());
	}

	void control_plane::submit_process_event(const char* event)
	{
		submit_event(*process_, event);
	}

	std::string control_plane::process_state() const
	{
		return active_state(*process_);
	}

	wire::control_envelope control_plane::envelope()
	{
		return membership_envelope(membership_);
	}

	void control_plane::send(const endpoint& destination, const wire::control_envelope& message)
	{
		const auto encoded = encode_control(message, next_message_number_, keys_);
		const auto* bytes = std::get_if<std::vector<std::byte>>(&encoded);
		if (bytes == nullptr)
		{
			metrics_.add(counter::control_dropped, std::get<reason>(encoded));
			return;
		}
		const auto to = to_socket_address(destination);
		const auto n = ::sendto(socket_.get(), bytes->data(), bytes->size(), MSG_DONTWAIT,
								reinterpret_cast<const sockaddr*>(&to.storage), to.length);
		if (n >= 0)
		{
			metrics_.add(counter::control_sent);
			metrics_.add(counter::control_bytes_sent, reason::none, static_cast<std::uint64_t>(n));
		}
	}

	void control_plane::check_pause(monotonic_time now)
	{
		if (!pause_.tick(now))
		{
			return;
		}
		// The datagrams pending in the socket may be as old as the pause.
		metrics_.add(counter::control_dropped, reason::paused, discard_pending(socket_.get()));
		submit_process_event("clock.jumped");
		log(log_level::warning, "process_paused",
			"event loop paused for more than 2 s; forwarding suspended until the configuration is confirmed");
		// Membership and relay detect the pause from the time of their last tick.
		membership_output membership_out;
		membership_on_tick(membership_, now, random_, membership_out);
		process_output(membership_out);
		relay_output relay_out;
		relay_on_tick(relay_, source_, now, random_, relay_out);
		process_output(relay_out);
	}

	void control_plane::read_socket()
	{
		check_pause(read_clock());
		while (const std::size_t n = receive_batch_.receive(socket_.get()))
		{
			const auto now = read_clock();
			for (std::size_t i = 0; i < n; ++i)
			{
				metrics_.add(counter::control_received);
				const auto decoded = decode_control(receive_batch_.payload(i), keys_, replays_);
				const auto* message = std::get_if<wire::control_envelope>(&decoded);
				if (message == nullptr)
				{
					metrics_.add(counter::control_dropped, std::get<reason>(decoded));
					continue;
				}
				const auto source = receive_batch_.source(i);
				membership_output membership_out;
				membership_on_message(membership_, source, *message, now, random_, membership_out);
				process_output(membership_out);
				relay_output relay_out;
				source_.complete_through = store_.complete_through;
				relay_on_message(relay_, source, *message, source_, now, random_, relay_out);
				process_output(relay_out);
				if (hooks_.on_message)
				{
					hooks_.on_message(source, *message);
				}
			}
		}
	}

	void control_plane::process_output(const relay_output& out)
	{
		for (const auto& it : out.applies)
		{
			apply_changes(it.full ? config_store_apply_full(store_, it.records, it.complete_through)
								  : config_store_apply(store_, it.records, it.complete_through));
		}
		source_.complete_through = store_.complete_through;
		membership_.self.newest = store_.newest;
		for (const auto& it : out.sends)
		{
			send(it.destination, it.envelope);
		}
		for (const auto& it : out.reads)
		{
			read_config(it);
		}
	}

	void control_plane::count_unreadable(std::size_t records)
	{
		if (records > 0)
		{
			metrics_.add(counter::config_records_unreadable, reason::malformed, records);
			log(log_level::warning, "config_records_unreadable",
				fmt::format("{} records without a readable key and revision left out", records));
		}
	}

	void control_plane::read_config(const start_read& read)
	{
		metrics_.add(counter::config_reads);
		client_.read(read.after, read.wait,
					 [this, after = read.after](const result<config_response, std::string>& response)
					 {
						 read_result result;
						 result.after = after;
						 if (has_value(response))
						 {
							 result.succeeded = true;
							 result.after = std::get<0>(response).full ? revision{} : after;
							 result.rev = std::get<0>(response).rev;
							 result.records = std::get<0>(response).versions;
							 count_unreadable(std::get<0>(response).unreadable);
						 }
						 else
						 {
							 metrics_.add(counter::config_read_failures);
							 log(log_level::warning, "config_read_failed", std::get<1>(response));
						 }
						 relay_output out;
						 source_.complete_through = store_.complete_through;
						 relay_on_read(relay_, result, source_, read_clock(), random_, out);
						 process_output(out);
					 });
	}

	void control_plane::process_output(const membership_output& out)
	{
		for (const auto& it : out.sends)
		{
			send(it.destination, it.envelope);
		}
		for (const auto& it : out.changes)
		{
			members_changed_ = true;
			const auto known = membership_.members.find(it.id);
			const auto before = it.before ? name_of(*it.before) : "unknown";
			audit({audit_kind::member_state,
				   known == membership_.members.end() ? std::to_string(to_number(it.id)) : known->second.info.name,
				   fmt::format("{} -> {}{}", before, name_of(it.after), it.restarted ? ", restarted" : ""),
				   store_.newest});
		}
	}

	void control_plane::announce(member_liveness liveness, std::vector<upstream_report> upstreams)
	{
		membership_output out;
		membership_set_self(membership_, liveness, std::move(upstreams), read_clock(), random_, out);
		process_output(out);
		members_changed_ = true;
	}

	void control_plane::tick()
	{
		const auto now = read_clock();
		check_pause(now);
		membership_output membership_out;
		membership_on_tick(membership_, now, random_, membership_out);
		process_output(membership_out);
		if (members_changed_)
		{
			update_view();
		}
		relay_output relay_out;
		source_.complete_through = store_.complete_through;
		relay_on_tick(relay_, source_, now, random_, relay_out);
		process_output(relay_out);
		if (view_is_current(relay_))
		{
			traffic_.current_as_of.store(now);
			if (to_number(store_.newest) != 0 && process_state() != "running" && process_state() != "draining")
			{
				submit_process_event("configuration.current");
			}
		}
		read_instances();
		if (hooks_.on_tick)
		{
			hooks_.on_tick(now);
		}
		metrics_.set(gauge::config_revision, static_cast<std::int64_t>(to_number(store_.newest)));
		metrics_.set(gauge::config_age_milliseconds,
					 std::chrono::duration_cast<std::chrono::milliseconds>(now - relay_.confirmed_at).count());
		metrics_.set(gauge::view_current, view_is_current(relay_) ? 1 : 0);
	}

	void control_plane::apply_changes(const store_changes& changes)
	{
		for (const auto& it : changes.events)
		{
			if (it.kind == audit_kind::record_refused)
			{
				metrics_.add(counter::records_rejected, it.why);
			}
			else
			{
				metrics_.add(counter::records_accepted);
			}
			audit(it);
		}
		if (changes.deployment_changed)
		{
			update_view();
		}
	}

	void control_plane::update_view()
	{
		members_changed_ = false;
		members_ = make_member_view(membership_);
		relay_on_members(relay_, members_);
		for (const auto& it : store_.current.zones)
		{
			auto& machine = zones_[it.id];
			if (!machine)
			{
				// The chart was validated at startup, so this fails only if the file has changed since.
				auto loaded = load_chart(zone_chart_directory_, "zone", {"in", "out"});
				if (!has_value(loaded))
				{
					log(log_level::error, "chart_unreadable", to_string(std::get<1>(loaded)));
					zones_.erase(it.id);
					continue;
				}
				machine = std::get<0>(std::move(loaded));
			}
			submit_event(*machine, it.state == zone_admin_state::out ? "record.out" : "record.in");
		}
		const auto alive = std::ranges::count(members_.members, member_liveness::alive, &member::liveness);
		const auto suspect = std::ranges::count(members_.members, member_liveness::suspect, &member::liveness);
		metrics_.set(gauge::members_alive, alive);
		metrics_.set(gauge::members_suspect, suspect);
		if (to_number(store_.newest) != 0)
		{
			hooks_.on_change(store_.current, members_);
		}
	}

	void control_plane::read_instances()
	{
		const auto now = read_clock();
		if (now < next_instance_list_read_)
		{
			return;
		}
		const std::chrono::milliseconds spread{members_.members.size() * 1'000 / max_list_reads_per_second};
		next_instance_list_read_ =
			now + (relay_.is_reader ? instance_list_interval
									: std::max<std::chrono::milliseconds>(instance_list_interval, spread));
		client_.read_instances(
			[this](const result<std::vector<listed_instance>, std::string>& list)
			{
				if (!has_value(list))
				{
					log(log_level::warning, "instance_list_failed", std::get<1>(list));
					return;
				}
				membership_output out;
				membership_on_instance_list(membership_, std::get<0>(list), out);
				process_output(out);
			});
	}
}
