#pragma once

#include "world.hpp"

namespace review
{
	/// The deployment's targets and requesters with the checks of the rules that the cases judge.
	class site
	{
	public:
		explicit site(world& shared) : w{shared} {}

		world& w;

		/// Resets of open flows count for FLOW only from this time on: all machines are in touch.
		milliseconds judged_from{0};

		/// Target that has been acknowledged as draining, and when.
		struct drained_target
		{
			const machine* host = nullptr;
			milliseconds acknowledged{0};
		};
		std::optional<drained_target> drained;

		machine& add_balancer(const std::string& name, unsigned number, const std::string& zone = "stred-a")
		{
			auto& it = w.add(name, "balancer", zone, number);
			w.start(it);
			return it;
		}

		/// Adds a machine with a target and its agent. The target registers when its port is open.
		/// \param cold	Whether it starts during traffic and is cold for 2 s.
		machine& add_target(const std::string& name, unsigned number, bool cold, const std::string& zone = "stred-a",
							const std::string& service = service_name)
		{
			auto& it = add_machine(name, number, !cold, zone, service);
			start_target(it, cold);
			return it;
		}

		/// Adds a machine for a target and starts its agent.
		machine& add_machine(const std::string& name, unsigned number, bool bootstrap = false,
							 const std::string& zone = "stred-a", const std::string& service = service_name)
		{
			auto& it = w.add(name, "agent", zone, number, service);
			it.bootstrap = bootstrap;
			it.entry_id = "servers/i-" + std::to_string(7'000 + number);
			w.start(it);
			return it;
		}

		void start_target(machine& it, bool cold, std::int64_t clock_offset_ms = 0)
		{
			w.start_target(it, handlers(it));
			born_[it.name] = wall_ms() + clock_offset_ms;
			constexpr int cold_ms = 2'000;
			constexpr int heartbeat_ms = 1'200;
			publish(it, "ready", cold ? cold_ms : 0);
			if (cold)
			{
				w.events.after(milliseconds{heartbeat_ms},
							   [this, &it] { publish(it, "ready", cold_ms - heartbeat_ms); });
				w.events.after(milliseconds{2 * heartbeat_ms}, [this, &it] { publish(it, "ready", 0); });
			}
		}

		/// Writes a target's entry.
		void publish(const machine& it, const std::string& state, int cold_ms)
		{
			const auto revision =
				w.metadata().put(it.entry_id, w.entry(it, state, cold_ms, ++sequence_[it.name], born_[it.name]));
			w.note("store: %s (%s) is %s, cold for %d ms, revision %llu", it.entry_id.c_str(), it.name.c_str(),
				   state.c_str(), cold_ms, static_cast<unsigned long long>(revision));
		}

		/// A target reports that it drains. The store's answer is the acknowledgement.
		void drain(machine& it)
		{
			it.app->draining = true;
			publish(it, "draining", 0);
			drained = {.host = &it, .acknowledged = w.now()};
		}

		requester& add_requester(unsigned number)
		{
			requesters_.push_back(std::make_unique<requester>(
				w.events, w.requester_address(number), [this](const flow_key& key) { return w.balancer_address(key); },
				requester_handlers(), number));
			return *requesters_.back();
		}

		/// Opens a flow that sends a request every `interval`.
		flow_key open_flow(requester& from, unsigned route, milliseconds interval)
		{
			const auto key = from.open(w.route(route), next_port_++);
			sent_[key] = w.now();
			const auto* through = w.choose_balancer(key);
			w.note("flow %s: opening packet sent through %s", to_text(key).c_str(),
				   through == nullptr ? "none" : through->name.c_str());
			keep_asking(from, key, interval);
			return key;
		}

		void ask(requester& from, const flow_key& key)
		{
			const auto id = "q-" + std::to_string(++asked_);
			asked_ids_.insert(id);
			w.note("request %s: sent on flow %s", id.c_str(), to_text(key).c_str());
			from.request(key, id, "POST", milliseconds{2'000});
		}

		/// Machine whose target holds a flow, or null.
		[[nodiscard]] const machine* holder(const flow_key& key) const
		{
			const auto found = holders_.find(key);
			return found == holders_.end() ? nullptr : found->second;
		}

		[[nodiscard]] std::size_t flows_at(const machine& it) const
		{
			return it.app ? it.app->open_flows() : 0;
		}

		int answered = 0;
		int lost = 0;
		int opened = 0;

		void summary()
		{
			w.note("summary: %d flows opened, %d requests sent, %d run, %d answered, %d without an answer, %d breaks",
				   opened, asked_, runs_, answered, lost, w.breaks());
		}

	private:
		static std::int64_t wall_ms()
		{
			return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
				.count();
		}

		void keep_asking(requester& from, const flow_key& key, milliseconds interval)
		{
			if (interval.count() == 0)
			{
				return;
			}
			ask(from, key);
			w.events.after(interval,
						   [this, &from, key, interval]
						   {
							   const auto state = from.state_of(key);
							   if (state == requester::state::open || state == requester::state::opening)
							   {
								   keep_asking(from, key, interval);
							   }
						   });
		}

		target::events handlers(machine& it)
		{
			return {.on_syn = [this, &it](const flow_key& key) { handle_syn(it, key); },
					.on_open =
						[this, &it](const flow_key& key)
					{
						holders_[key] = &it;
						w.note("flow %s: open at the target of %s", to_text(key).c_str(), it.name.c_str());
					},
					.on_run =
						[this, &it](const flow_key& key, const std::string& id)
					{
						++runs_;
						if (!asked_ids_.contains(id))
						{
							w.broken("UNASKED", "a target ran " + id + ", which no requester sent");
						}
						if (!run_ids_.insert(id).second)
						{
							w.broken("UNASKED", "request " + id + " ran twice");
						}
						w.note("request %s: run at %s on flow %s", id.c_str(), it.name.c_str(), to_text(key).c_str());
					},
					.on_forged = [this, &it](const flow_key& key, const std::string& what)
					{ w.broken("UNASKED", it.name + " got an " + what + " on " + to_text(key)); }};
		}

		void handle_syn(const machine& it, const flow_key& key)
		{
			w.note("flow %s: opening packet accepted by the target of %s", to_text(key).c_str(), it.name.c_str());
			if (!drained || drained->host != &it)
			{
				return;
			}
			const auto late = drained->acknowledged + bounds::drain;
			if (sent_[key] > late)
			{
				w.broken("DRAIN", "the target of " + it.name + " took flow " + to_text(key) + ", sent " +
									  std::to_string((sent_[key] - drained->acknowledged).count()) +
									  " ms after its state \"draining\" was acknowledged");
			}
		}

		requester::events requester_handlers()
		{
			return {
				.on_state =
					[this](const flow_key& key, requester::state state)
				{
					static constexpr const char* names[] = {"opening", "open", "failed to open", "reset", "closed"};
					opened += state == requester::state::open ? 1 : 0;
					w.note("flow %s: %s", to_text(key).c_str(), names[static_cast<int>(state)]);
				},
				.on_answer =
					[this](const flow_key& key, const std::string& id, const std::string& response)
				{
					++answered;
					const bool own = header_of(response, "Nutmegturn-Response-Signature") == id;
					if (!own || response.find("result of " + id) == std::string::npos)
					{
						w.broken("MIXED", "request " + id + " got a foreign answer");
					}
					w.note("request %s: answered on flow %s", id.c_str(), to_text(key).c_str());
				},
				.on_timeout =
					[this](const flow_key& key, const std::string& id)
				{
					++lost;
					w.note("request %s: no answer in its time limit on flow %s (%s)", id.c_str(), to_text(key).c_str(),
						   run_ids_.contains(id) ? "it has run" : "it has not run");
				},
				.on_forged = [this](const flow_key& key, const std::string& what)
				{ w.broken("MIXED", "a requester got an " + what + " on " + to_text(key)); },
				.on_system_reset =
					[this](const flow_key& key, bool open, bool valid)
				{
					const auto* host = holder(key);
					const bool lives = host != nullptr && host->app->running() && host->app->holds(key);
					const auto* through = w.choose_balancer(key);
					w.note(
						"flow %s: the system's reset arrived (flow %s, sequence number %s); its packets go through %s",
						to_text(key).c_str(), open ? "open" : "not open", valid ? "valid" : "out of range",
						through == nullptr ? "none" : through->name.c_str());
					if (open && valid && lives && w.now() >= judged_from)
					{
						w.broken("FLOW", "flow " + to_text(key) + " is open at the target of " + host->name +
											 ", which lives and holds it, and was reset by the system");
					}
				}};
		}

		std::vector<std::unique_ptr<requester>> requesters_;
		std::map<flow_key, machine*> holders_;
		std::map<flow_key, milliseconds> sent_;
		std::map<std::string, std::int64_t> born_;
		std::map<std::string, int> sequence_;
		std::set<std::string> asked_ids_;
		std::set<std::string> run_ids_;
		std::uint16_t next_port_ = 40'001;
		int asked_ = 0;
		int runs_ = 0;
	};
}
