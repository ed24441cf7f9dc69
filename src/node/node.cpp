#include "node/node.hpp"

#include "nutmegturn/steering/settings_change.hpp"

#include "platform/settings.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>

namespace nutmegturn::node
{
	using steering::record_group;
	using steering::to_endpoint;

	namespace
	{
		/// Minimum interval between requests for records to other processes.
		constexpr std::chrono::milliseconds relay_interval{500};

		constexpr std::chrono::milliseconds relay_timeout{400};

		/// Shortest time between two checks of the records' age.
		constexpr std::chrono::milliseconds min_confirmation_interval{200};

		/// Interval of checks for a settings file that changed without a signal.
		constexpr std::chrono::seconds settings_check_interval{5};

		/// Shortest time between two log lines about datagrams that are no messages.
		constexpr std::chrono::minutes undecodable_log_interval{1};

		/// Returns the counters of messages by kind in the Prometheus text format.
		[[nodiscard]] std::string format_message_counts(const steering::message_counts& counts)
		{
			std::string text;
			for (std::size_t kind = 1; kind < steering::message_kind_count; ++kind)
			{
				const auto name = to_string(static_cast<steering::message_kind>(kind));
				text += fmt::format("nutmegturn_messages_sent_total{{kind=\"{0}\"}} {1}\n"
									"nutmegturn_messages_received_total{{kind=\"{0}\"}} {2}\n",
									name, counts.sent[kind], counts.received[kind]);
			}
			return text;
		}

		/// Returns the counters of calls to the metadata store in the Prometheus text format.
		[[nodiscard]] std::string format_store_calls(std::string_view group, const store_reader& reader)
		{
			const auto& counts = reader.counts();
			return fmt::format("nutmegturn_store_calls_total{{group=\"{0}\",call=\"listing\"}} {1}\n"
							   "nutmegturn_store_calls_total{{group=\"{0}\",call=\"watch\"}} {2}\n"
							   "nutmegturn_store_confirmations_total{{group=\"{0}\"}} {6}\n"
							   "nutmegturn_store_watches_answered_total{{group=\"{0}\",changes=\"yes\"}} {3}\n"
							   "nutmegturn_store_watches_answered_total{{group=\"{0}\",changes=\"no\"}} {4}\n"
							   "nutmegturn_store_calls_failed_total{{group=\"{0}\"}} {5}\n",
							   group, counts.listings, counts.watches, counts.changed, counts.unchanged, counts.failed,
							   reader.confirmations());
		}

		/// Returns the modification time of a file, or -1 when it cannot be read.
		[[nodiscard]] std::int64_t modification_time(const std::string& path)
		{
			std::error_code ec;
			const auto at = std::filesystem::last_write_time(path, ec);
			return ec ? -1 : static_cast<std::int64_t>(at.time_since_epoch().count());
		}
	}

	node::node(const steering::node_settings& initial, settings_file source, node_log& logger)
		: settings{initial}, log{logger},
		  orders_reader{
			  loop, log, catalog, to_endpoint(initial.store), record_group::operator_orders, process_seed(initial)},
		  upstreams_reader{
			  loop, log, catalog, to_endpoint(initial.store), record_group::upstreams, process_seed(initial) + 1},
		  file{std::move(source)}, file_modified_at{modification_time(file.path)}, random_{process_seed(initial) + 2}
	{
	}

	void node::start()
	{
		loop.set_exception_handler(
			[this](const std::exception& error)
			{
				++handler_exceptions;
				log.write(log_level::error, "handler_failed", "a message could not be handled and was dropped",
						  {{"reason", error.what()}});
			});
		orders_reader.start();
		upstreams_reader.start();
		confirmation_age_ = draw_confirmation_age(confirmation_ages, random_());
		confirm_due_records();
		loop.call_at(loop.now() + settings_check_interval, [this] { watch_settings(); });
	}

	void node::confirm_due_records()
	{
		const auto now = loop.now();
		const std::array readers{&orders_reader, &upstreams_reader};
		const auto is_due = [now](const store_reader* it, std::chrono::milliseconds age)
		{ return it->known_as_of() != monotonic_time{} && it->confirmation_due(age) <= now; };
		if (std::ranges::any_of(readers, [&](const auto* it) { return is_due(it, confirmation_age_); }))
		{
			confirmation_asked_at_ = now;
			asked_readers_.clear();
			for (auto* it : readers)
			{
				// Both groups are confirmed together if possible, so that one message tells others of both.
				if (is_due(it, confirmation_ages.shortest))
				{
					asked_readers_.push_back(it);
					it->confirm(now);
				}
			}
			confirmation_age_ = draw_confirmation_age(confirmation_ages, random_());
		}
		auto next = now + confirmation_age_;
		for (const auto* it : readers)
		{
			next = std::min(next, it->confirmation_due(confirmation_age_));
		}
		loop.call_at(std::max(next, now + min_confirmation_interval), [this] { confirm_due_records(); });
	}

	bool node::take_confirmed() noexcept
	{
		const bool confirmed =
			!asked_readers_.empty() && std::ranges::all_of(asked_readers_, [this](const auto* it)
														   { return it->is_up_to_date_since(confirmation_asked_at_); });
		if (confirmed)
		{
			asked_readers_.clear();
		}
		return confirmed;
	}

	void node::handle_knowledge(const steering::store_knowledge& knowledge) noexcept
	{
		orders_reader.apply_evidence(knowledge.orders);
		if (!upstreams_reader.watches_one_key())
		{
			upstreams_reader.apply_evidence(knowledge.upstreams);
		}
		else if (knowledge.entry != steering::store_revision{})
		{
			upstreams_reader.apply_evidence({.newest = knowledge.entry, .as_of = knowledge.upstreams.as_of});
		}
	}

	void node::watch_settings()
	{
		if (modification_time(file.path) != file_modified_at)
		{
			reload();
		}
		loop.call_at(loop.now() + settings_check_interval, [this] { watch_settings(); });
	}

	void node::reload()
	{
		file_modified_at = modification_time(file.path);
		const auto loaded_settings = platform::read_settings(file.path, file.require_upstream_fields);
		if (!has_value(loaded_settings))
		{
			log.write(log_level::error, "reload_refused", to_string(std::get<1>(loaded_settings)));
			return;
		}
		const auto previous_store = settings.store;
		const auto change = apply_settings(settings, std::get<0>(loaded_settings));
		if (settings.store != previous_store)
		{
			orders_reader.set_store(to_endpoint(settings.store));
			upstreams_reader.set_store(to_endpoint(settings.store));
		}
		log.write(change.after_restart.empty() ? log_level::info : log_level::warning, "reload",
				  "settings file reloaded",
				  {{"applied", fmt::format("{}", fmt::join(change.applied, " "))},
				   {"after_restart", fmt::format("{}", fmt::join(change.after_restart, " "))}});
	}

	status_response node::respond(std::string_view path, bool ready, std::size_t flows)
	{
		if (path == "/readyz")
		{
			return {.status = ready ? 200 : 503, .body = {}};
		}
		if (path == "/metrics")
		{
			metrics.set(gauge::flows_open, static_cast<std::int64_t>(flows));
			return {.status = 200, .body = metrics_text()};
		}
		if (path == orders_path)
		{
			return {.status = 200, .body = orders_reader.listing()};
		}
		return {.status = 404, .body = {}};
	}

	void node::handle_reported_orders(steering::ipv4 instance, const steering::message& msg, steering::ipv4 balancer)
	{
		const auto& revision = msg.orders_revision;
		orders_reader.handle_known_revision(revision);
		upstreams_reader.handle_known_revision({.era = revision.era, .number = 0});
		const auto now = loop.now();
		const bool version_overdue = is_version_overdue(newer_version, catalog.version, msg.version, now);
		if (now - last_relay_request < relay_interval)
		{
			return;
		}
		const bool orders_wanted = orders_reader.state().unreachable && revision > catalog.orders_revision;
		const bool upstreams_wanted = upstreams_reader.state().unreachable && !upstreams_reader.state().listed_once &&
									  balancer != steering::ipv4{};
		if (orders_wanted || version_overdue)
		{
			fetch_records(instance, orders_relay, orders_path, orders_reader);
		}
		if (upstreams_wanted)
		{
			fetch_records(balancer, upstreams_relay, upstreams_path, upstreams_reader);
		}
	}

	void node::record_undecodable(const std::optional<steering::ipv4_endpoint>& from, std::span<const std::byte> bytes)
	{
		++undecodable;
		const auto now = loop.now();
		if (undecodable_logged_at_ != monotonic_time{} && now - undecodable_logged_at_ < undecodable_log_interval)
		{
			return;
		}
		undecodable_logged_at_ = now;
		const auto layout =
			bytes.empty() ? std::string{"none"} : fmt::format("0x{:02x}", std::to_integer<int>(bytes.front()));
		log.write(log_level::warning, "message_undecodable",
				  "datagram of another process dropped: damaged, or of a build with another layout of messages",
				  {{"from", from ? to_string(*from) : "unknown"}, {"layout", layout}});
	}

	void node::fetch_records(steering::ipv4 instance, std::unique_ptr<http_connection>& connection,
							 std::string_view path, store_reader& reader)
	{
		last_relay_request = loop.now();
		// The status servers of all instances use the same port.
		connection =
			std::make_unique<http_connection>(loop, to_endpoint({.ip = instance, .port = settings.readiness.port}));
		connection->get(std::string{path}, relay_timeout,
						[&reader](const http_result& outcome) { reader.apply_relayed(outcome); });
	}

	std::string node::listen(status_server& server) const
	{
		const auto error = server.listen(to_endpoint({.ip = settings.instance, .port = metrics_port}));
		if (!error.empty())
		{
			log.write(log_level::warning, "metrics_not_served", error);
		}
		return server.listen(to_endpoint(settings.readiness));
	}

	std::string node::records_age_ms(const store_reader& reader) const
	{
		if (reader.known_as_of() == monotonic_time{})
		{
			return "unknown";
		}
		const auto age = loop.now() - reader.known_as_of();
		return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
	}

	std::string node::metrics_text()
	{
		const auto age = loop.now() - orders_reader.known_as_of();
		metrics.set(gauge::config_revision, static_cast<std::int64_t>(catalog.version));
		metrics.set(gauge::config_age_milliseconds, std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
		metrics.set(gauge::view_current, configuration_current() ? 1 : 0);
		metrics_snapshot snapshot{std::array<const metrics_shard*, 1>{&metrics}};
		return fmt::format("{}{}{}nutmegturn_log_lines_dropped_total {}\n"
						   "nutmegturn_unreadable_records_total {}\nnutmegturn_upstreams_of_unknown_services {}\n"
						   "nutmegturn_services_with_long_names {}\n"
						   "nutmegturn_datagrams_refused_total {}\n"
						   "nutmegturn_messages_undecodable_total {}\n"
						   "nutmegturn_handler_failures_total {}\nnutmegturn_searches_total {}\n{}{}",
						   snapshot.to_prometheus(), format_store_calls("orders", orders_reader),
						   format_store_calls("upstreams", upstreams_reader), log.dropped(), catalog.unreadable_records,
						   count_upstreams_of_unknown_services(catalog), services_with_long_names(catalog).size(),
						   datagrams_refused, undecodable, handler_exceptions, searches,
						   format_message_counts(messages), metrics_by_class.to_prometheus());
	}

	bool node::loaded() const noexcept
	{
		return orders_reader.state().listed_once && upstreams_reader.state().listed_once && catalog.version != 0;
	}

	bool node::configuration_current() const noexcept
	{
		return catalog.version != 0 && is_current(orders_reader.state(), orders_reader.known_as_of(), loop.now());
	}

	bool node::upstreams_complete() const noexcept
	{
		const auto& state = upstreams_reader.state();
		return loaded() && is_current(state, upstreams_reader.known_as_of(), loop.now()) &&
			   !is_settling(state, loop.now());
	}

	std::uint64_t process_seed(const steering::node_settings& settings) noexcept
	{
		const auto time = static_cast<std::uint64_t>(runtime::read_clock().time_since_epoch().count());
		return time ^ (std::uint64_t{static_cast<std::uint32_t>(settings.instance)} << 32U) ^
			   static_cast<std::uint64_t>(::getpid());
	}
}
