#include "node/store_reader.hpp"

#include <fmt/format.h>

namespace nutmegturn::node
{
	using steering::store_follower;

	namespace
	{
		/// Time in which the store usually answers a call that finds changes.
		constexpr std::chrono::milliseconds answer_time{100};

		[[nodiscard]] platform::store_response decode(const http_result& result)
		{
			const auto era =
				result.header[boost::beast::string_view{platform::era_field.data(), platform::era_field.size()}];
			return platform::decode_response(result.status, {era.data(), era.size()}, result.body);
		}

		/// Returns whether a page does not lead further in a listing, which would then be read without end.
		[[nodiscard]] bool repeats_page(const store_follower& follower, const platform::store_response& page)
		{
			const bool listing = follower.next == store_follower::step::list;
			return listing && page.has_more && !page.records.empty() && page.records.back().key <= follower.last_key;
		}
	}

	store_reader::store_reader(event_loop& loop, node_log& log, steering::catalog& catalog, const endpoint& store,
							   steering::record_group group, std::uint64_t seed)
		: loop_{loop}, log_{log}, catalog_{catalog}, group_{group}, record_log_{log, catalog, group},
		  connection_{loop, store}, confirmation_{loop,
												  store,
												  {.target = [this] { return confirmation_target(); },
												   .done = [this](const http_result& result, monotonic_time started)
												   { handle_confirmation(result, started); }}},
		  random_{seed}
	{
	}

	void store_reader::set_watch_scope_selector(std::function<steering::watch_scope()> selector)
	{
		watch_scope_selector_ = std::move(selector);
	}

	void store_reader::set_answer_handler(std::function<void()> handler)
	{
		answer_handler_ = std::move(handler);
	}

	void store_reader::set_store(const endpoint& store)
	{
		const bool calling = counts_.listings > 0 && call_timer_ == 0;
		connection_.set_server(store);
		confirmation_.set_server(store);
		if (calling)
		{
			call();
		}
	}

	void store_reader::start()
	{
		follower_.next_call_at = loop_.now();
		call_when_due();
	}

	void store_reader::call_when_due()
	{
		if (follower_.next_call_at <= loop_.now())
		{
			call();
			return;
		}
		call_timer_ = loop_.call_at(follower_.next_call_at, [this] { call(); });
	}

	void store_reader::handle_known_revision(const steering::store_revision& revision)
	{
		if (call_timer_ == 0 && is_answer_overdue(follower_, revision, loop_.now()))
		{
			handle_failure("another process knows a newer revision");
		}
	}

	void store_reader::widen_watch()
	{
		const bool watches_key =
			call_timer_ == 0 && !only_key_.empty() && follower_.next == store_follower::step::watch;
		if (watches_key && watch_scope_selector_().key.empty())
		{
			connection_.close();
			update_watch_scope();
			call();
		}
	}

	void store_reader::confirm(monotonic_time time)
	{
		confirmation_.request(time);
	}

	std::string store_reader::confirmation_target() const
	{
		const bool watching = follower_.next == store_follower::step::watch;
		return watching && !follower_.unreachable
				   ? platform::watch_target(group_, only_key_, follower_.revision.number, steering::min_watch_wait)
				   : std::string{};
	}

	void store_reader::handle_confirmation(const http_result& result, monotonic_time started)
	{
		const auto response = decode(result);
		if (confirms_revision(response))
		{
			follower_.last_answer = loop_.now();
			follower_.revision = std::max(follower_.revision, response.revision);
			confirmation_.record_up_to_date(started);
			confirmation_.resume();
			if (answer_handler_)
			{
				answer_handler_();
			}
			return;
		}
		// Taken for the answer of the pending watch, which may have been lost.
		connection_.close();
		loop_.cancel(std::exchange(call_timer_, 0));
		call_started_ = started;
		handle_result(result);
	}

	bool store_reader::confirms_revision(const platform::store_response& response) const
	{
		return response.result == platform::store_response::outcome::complete && response.records.empty() &&
			   response.revision.era == follower_.revision.era;
	}

	bool store_reader::is_up_to_date_since(monotonic_time time) const noexcept
	{
		return confirmation_.is_up_to_date_since(time);
	}

	void store_reader::apply_evidence(const steering::record_evidence& heard) noexcept
	{
		if (is_confirmed_by(follower_.revision, heard) && heard.as_of > heard_.as_of)
		{
			heard_ = heard;
		}
	}

	monotonic_time store_reader::confirmation_due(std::chrono::milliseconds age) const noexcept
	{
		const auto due = known_as_of() + age;
		return call_timer_ == 0 ? due : std::max(due, follower_.next_call_at + answer_time);
	}

	void store_reader::call()
	{
		call_timer_ = 0;
		call_started_ = loop_.now();
		const bool watch = follower_.next == store_follower::step::watch;
		++(watch ? counts_.watches : counts_.listings);
		const auto wait = watch ? next_watch_wait(follower_) : steering::milliseconds{0};
		const auto target = watch ? platform::watch_target(group_, only_key_, follower_.revision.number, wait)
								  : platform::listing_target(group_, follower_.last_key);
		const auto timeout = steering::call_timeout + wait;
		connection_.get(target, timeout, [this](const http_result& result) { handle_result(result); });
	}

	void store_reader::handle_result(const http_result& result)
	{
		confirmation_.abandon();
		try
		{
			apply_result(result);
		}
		catch (const std::exception& error)
		{
			// Repeated like a failed call, so that the group is still followed.
			handle_failure(error.what());
		}
	}

	void store_reader::apply_result(const http_result& result)
	{
		if (result.too_large && follower_.next == store_follower::step::watch)
		{
			log_.write(log_level::warning, "store_answer_too_large",
					   "changes exceed the size of an answer; listing all records again",
					   {{"revision", std::to_string(follower_.revision.number)}});
			restart_listing(follower_, loop_.now());
			call_when_due();
			return;
		}
		if (result.status == 0)
		{
			handle_failure(result.error);
			return;
		}
		const auto response = decode(result);
		switch (response.result)
		{
			case platform::store_response::outcome::complete:
				if (is_former_era(follower_, response.revision.era))
				{
					handle_failure("answer of a former era of the store");
					return;
				}
				if (repeats_page(follower_, response))
				{
					list_again(follower_, loop_.now());
					handle_failure("the store repeats a page of a listing");
					return;
				}
				if (follower_.unreachable)
				{
					log_.write(log_level::info, "store_regained", "metadata store reachable again");
				}
				apply_answer(response);
				break;
			case platform::store_response::outcome::history_gone:
				log_.write(log_level::info, "store_history_gone",
						   "metadata store no longer keeps the watched revision; listing all records again",
						   {{"era", std::to_string(follower_.revision.era)},
							{"revision", std::to_string(follower_.revision.number)}});
				restart_listing(follower_, loop_.now());
				break;
			case platform::store_response::outcome::refused:
			case platform::store_response::outcome::malformed:
				handle_failure(fmt::format("status {}", response.status));
				return;
		}
		update_watch_scope();
		call_when_due();
		confirmation_.resume();
		if (answer_handler_)
		{
			answer_handler_();
		}
	}

	void store_reader::enter_era(const steering::store_revision& revision)
	{
		log_.write(log_level::warning, "store_restored",
				   "metadata store restored from an older copy; listing all records again",
				   {{"era", std::to_string(revision.era)},
					{"revision", std::to_string(revision.number)},
					{"former_era", std::to_string(follower_.revision.era)},
					{"former_revision", std::to_string(follower_.revision.number)}});
		steering::enter_era(follower_, revision.era, loop_.now());
	}

	void store_reader::schedule_settled_listing()
	{
		const auto& era = era_of(catalog_, group_);
		if (!settled_listing_scheduled_ && !era.held.empty() && loop_.now() < era.settling_until)
		{
			settled_listing_scheduled_ = true;
			loop_.call_at(era.settling_until, [this] { list_settled_records(); });
		}
	}

	void store_reader::list_settled_records()
	{
		settled_listing_scheduled_ = false;
		if (follower_.next == store_follower::step::list)
		{
			// A page may be on its way; a listing that starts anew would take it for its first one.
			loop_.call_at(loop_.now() + steering::call_timeout, [this] { list_settled_records(); });
			return;
		}
		list_again(follower_, loop_.now());
		if (call_timer_ == 0)
		{
			connection_.close();
			call();
		}
	}

	void store_reader::update_watch_scope()
	{
		if (!watch_scope_selector_)
		{
			return;
		}
		auto scope = watch_scope_selector_();
		const bool watching = follower_.next == store_follower::step::watch;
		if (watching && !only_key_.empty() && scope.key != only_key_)
		{
			// The watch of one key has advanced the revision past changes of other keys.
			list_again(follower_, loop_.now());
		}
		only_key_ = std::move(scope.key);
		follower_.coalescing_delay = scope.coalescing_delay;
	}

	void store_reader::apply_answer(const platform::store_response& response)
	{
		const bool first_page = follower_.next == store_follower::step::list && follower_.last_key.empty();
		if (is_restored(follower_, response.revision.era))
		{
			enter_era(response.revision);
			if (!first_page)
			{
				// The answer continues from a revision of the former era.
				return;
			}
		}
		if (first_page)
		{
			listing_started_ = call_started_;
		}
		follower_.next == store_follower::step::list ? apply_listing(response) : apply_watch(response);
		schedule_settled_listing();
	}

	void store_reader::apply_listing(const platform::store_response& response)
	{
		const auto version = catalog_.version;
		std::string last_key;
		for (const auto& record : response.records)
		{
			apply(record);
			record_newest(record.revision);
			follower_.listed_keys.insert(record.key);
			last_key = record.key;
		}
		mark_skipped_versions(version);
		if (record_listing_page(follower_, response.revision, last_key, response.has_more, loop_.now()))
		{
			finish_listing(follower_.listed_keys, follower_.revision);
			follower_.listed_keys.clear();
			// The listing does not show removals, the last of which may be as recent as the listing itself.
			record_newest(follower_.revision);
			// Changes since the first page are read by the next watch.
			confirmation_.record_up_to_date(listing_started_);
		}
	}

	void store_reader::mark_skipped_versions(std::uint64_t former_version)
	{
		if (catalog_.version != former_version)
		{
			catalog_.versions_skipped_at = loop_.now();
		}
	}

	void store_reader::finish_listing(const std::set<std::string>& listed, const steering::store_revision& revision)
	{
		for (const auto& [key, effect] : steering::finish_listing(catalog_, group_, listed, revision, loop_.now()))
		{
			record_log_.log_missing(key, effect, revision);
		}
		const auto& held = era_of(catalog_, group_).held;
		std::erase_if(encoded_, [&](const auto& it) { return !listed.contains(it.first) && !held.contains(it.first); });
	}

	void store_reader::apply_watch(const platform::store_response& response)
	{
		for (const auto& record : response.records)
		{
			apply(record);
			record_newest(record.revision);
		}
		++(response.records.empty() ? counts_.unchanged : counts_.changed);
		const steering::watch_changes changes{.changed = response.records.size(), .known = encoded_.size()};
		record_watch_answer(follower_, response.revision, changes, loop_.now());
		if (only_key_.empty())
		{
			confirmation_.record_up_to_date(call_started_);
		}
	}

	void store_reader::record_newest(const steering::store_revision& revision) noexcept
	{
		newest_ = std::max(newest_, revision);
	}

	void store_reader::apply(const steering::store_record& record)
	{
		const auto effect = apply_record(catalog_, group_, record, loop_.now());
		if (effect != steering::record_effect::none)
		{
			update_encoded(record);
		}
		record_log_.log_effect(record, effect);
	}

	void store_reader::update_encoded(const steering::store_record& record)
	{
		if (std::holds_alternative<steering::removed_record>(record.value))
		{
			encoded_.erase(record.key);
		}
		else
		{
			encoded_[record.key] = record.encoded;
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
		return platform::encode_listing(records, orders ? catalog_.orders_revision : follower_.revision);
	}

	void store_reader::apply_relayed(const http_result& result)
	{
		const auto response = decode(result);
		const bool orders = group_ == steering::record_group::operator_orders;
		const auto newest = orders ? catalog_.orders_revision : follower_.revision;
		const auto version = catalog_.version;
		if (response.result != platform::store_response::outcome::complete || response.records.empty())
		{
			return;
		}
		const bool newer = response.revision > newest;
		newer ? apply_relayed_listing(response) : apply_relayed_configuration(response);
		mark_skipped_versions(version);
		if (newer || catalog_.version != version)
		{
			log_.write(log_level::info, orders ? "orders_relayed" : "upstreams_relayed",
					   "records read from another process that knows newer ones",
					   {{"era", std::to_string(response.revision.era)},
						{"revision", std::to_string(response.revision.number)},
						{"version", std::to_string(catalog_.version)}});
		}
	}

	void store_reader::apply_relayed_listing(const platform::store_response& response)
	{
		std::set<std::string> listed;
		for (const auto& record : response.records)
		{
			apply(record);
			listed.insert(record.key);
		}
		finish_listing(listed, response.revision);
		if (group_ == steering::record_group::operator_orders)
		{
			catalog_.orders_revision = std::max(catalog_.orders_revision, response.revision);
		}
		follower_.listed_once = true;
	}

	void store_reader::apply_relayed_configuration(const platform::store_response& response)
	{
		for (const auto& record : response.records)
		{
			if (std::holds_alternative<steering::configuration>(record.value))
			{
				apply(record);
			}
		}
	}

	void store_reader::handle_failure(const std::string& reason)
	{
		if (!follower_.unreachable)
		{
			log_.write(log_level::warning, "store_lost", "call to the metadata store failed", {{"reason", reason}});
		}
		++counts_.failed;
		connection_.close();
		confirmation_.abandon();
		record_failure(follower_, random_(), loop_.now());
		call_when_due();
	}
}
