#include "node/store_reader.hpp"

#include <fmt/format.h>

namespace nutmegturn::node
{
	using steering::store_follower;

	namespace
	{
		/// A watch that has waited this long has nothing to report: several times the store's usual answer time.
		constexpr std::chrono::milliseconds watch_quiet{40};
	}

	store_reader::store_reader(event_loop& loop, node_log& log, steering::catalog& known, const endpoint& store,
							   steering::record_group group, std::uint64_t seed)
		: loop_{loop}, log_{log}, known_{known}, group_{group}, connection_{loop, store}, random_{seed}
	{
	}

	void store_reader::set_part_selector(std::function<steering::followed_part()> choose)
	{
		choose_part_ = std::move(choose);
	}

	void store_reader::set_store(const endpoint& store)
	{
		const bool calling = calls_ > 0 && pause_ == 0;
		connection_.set_server(store);
		if (calling)
		{
			call();
		}
	}

	void store_reader::start()
	{
		follower_.due = loop_.now();
		call_when_due();
	}

	void store_reader::call_when_due()
	{
		if (follower_.due <= loop_.now())
		{
			call();
			return;
		}
		pause_ = loop_.call_at(follower_.due, [this] { call(); });
	}

	void store_reader::refresh()
	{
		if (pause_ != 0 && !follower_.away)
		{
			loop_.cancel(pause_);
			call();
		}
	}

	bool store_reader::is_up_to_date_since(monotonic_time time) const noexcept
	{
		const bool watching = pause_ == 0 && follower_.next == store_follower::step::watch;
		const bool unchanged = watching && loop_.now() - called_ >= watch_quiet;
		return unchanged || answered_call_ >= time;
	}

	void store_reader::call()
	{
		pause_ = 0;
		called_ = loop_.now();
		++calls_;
		const bool watch = follower_.next == store_follower::step::watch;
		const auto target = watch ? platform::watch_target(group_, only_key_, follower_.revision, steering::watch_wait)
								  : platform::listing_target(group_, follower_.last_key);
		const auto timeout = steering::call_timeout + (watch ? steering::watch_wait : steering::milliseconds{0});
		connection_.get(target, timeout, [this](const http_result& outcome) { take_outcome(outcome); });
	}

	void store_reader::take_outcome(const http_result& outcome)
	{
		if (outcome.status == 0)
		{
			fail(outcome.error);
			return;
		}
		const auto answer = platform::decode_response(outcome.status, outcome.body);
		switch (answer.result)
		{
			case platform::store_response::outcome::complete:
				answered_call_ = called_;
				if (follower_.away)
				{
					log_.write(log_level::info, "store_regained", "the metadata store answers again");
				}
				follower_.next == store_follower::step::list ? take_listing(answer) : take_watch(answer);
				break;
			case platform::store_response::outcome::history_gone:
				log_.write(log_level::info, "store_history_gone",
						   "the watched history is gone; reading everything again",
						   {{"revision", std::to_string(follower_.revision)}});
				note_history_gone(follower_, loop_.now());
				break;
			case platform::store_response::outcome::refused:
			case platform::store_response::outcome::malformed:
				fail(fmt::format("status {}", answer.status));
				return;
		}
		choose_part();
		call_when_due();
	}

	void store_reader::choose_part()
	{
		if (!choose_part_)
		{
			return;
		}
		auto part = choose_part_();
		only_key_ = std::move(part.key);
		follower_.change_pause = part.change_pause;
	}

	void store_reader::take_listing(const platform::store_response& answer)
	{
		std::string last_key;
		for (const auto& it : answer.records)
		{
			apply(it);
			follower_.listed.insert(it.key);
			last_key = it.key;
		}
		if (note_listing(follower_, answer.revision, last_key, answer.has_more, loop_.now()))
		{
			steering::finish_listing(known_, group_, follower_.listed, loop_.now());
			follower_.listed.clear();
		}
	}

	void store_reader::take_watch(const platform::store_response& answer)
	{
		for (const auto& it : answer.records)
		{
			apply(it);
		}
		note_watch(follower_, answer.revision, !answer.records.empty(), loop_.now());
	}

	void store_reader::apply(const steering::store_record& it)
	{
		const auto effect = apply_record(known_, group_, it, loop_.now());
		if (effect == steering::record_effect::none)
		{
			return;
		}
		keep_encoded(it);
		if (effect == steering::record_effect::configured)
		{
			log_cold_rates();
		}
		const auto* problem = std::get_if<steering::unreadable_record>(&it.value);
		log_.write(
			problem == nullptr ? log_level::info : log_level::warning, to_string(effect),
			problem == nullptr ? "the metadata store changed" : problem->problem,
			{{"key", it.key}, {"revision", std::to_string(it.revision)}, {"version", std::to_string(known_.version)}});
	}

	void store_reader::keep_encoded(const steering::store_record& it)
	{
		if (std::holds_alternative<steering::removed_record>(it.value))
		{
			encoded_.erase(it.key);
		}
		else
		{
			encoded_[it.key] = it.encoded;
		}
	}

	std::string store_reader::listing() const
	{
		std::vector<std::string> records;
		for (const auto& [key, encoded] : encoded_)
		{
			records.push_back(encoded);
		}
		const bool orders = group_ == steering::record_group::operator_orders;
		return platform::encode_listing(records, orders ? known_.orders_revision : follower_.revision);
	}

	void store_reader::apply_relayed(const http_result& outcome)
	{
		const auto answer = platform::decode_response(outcome.status, outcome.body);
		const bool orders = group_ == steering::record_group::operator_orders;
		const auto newest = orders ? known_.orders_revision : follower_.revision;
		if (answer.result != platform::store_response::outcome::complete || answer.revision <= newest ||
			answer.records.empty())
		{
			return;
		}
		std::set<std::string> listed;
		for (const auto& it : answer.records)
		{
			apply(it);
			listed.insert(it.key);
		}
		finish_listing(known_, group_, listed, loop_.now());
		std::erase_if(encoded_, [&listed](const auto& it) { return !listed.contains(it.first); });
		if (orders)
		{
			known_.orders_revision = std::max(known_.orders_revision, answer.revision);
		}
		follower_.listed_once = true;
		log_.write(log_level::info, orders ? "orders_relayed" : "upstreams_relayed",
				   "took records from another process while the metadata store is out of reach",
				   {{"revision", std::to_string(answer.revision)}, {"version", std::to_string(known_.version)}});
	}

	void store_reader::log_cold_rates()
	{
		for (const auto& [key, service] : known_.services)
		{
			log_.write(log_level::info, "service_configured", "limits of a service while its upstreams are cold",
					   {{"service", service.name},
						{"cold_ms", std::to_string(service.cold_time.count())},
						{"cold_requests_per_s", fmt::format("{}", service.cold_requests_per_s)}});
		}
	}

	void store_reader::fail(const std::string& why)
	{
		if (!follower_.away)
		{
			log_.write(log_level::warning, "store_lost", "a call to the metadata store failed", {{"reason", why}});
		}
		connection_.close();
		note_failure(follower_, random_(), loop_.now());
		call_when_due();
	}
}
