#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/handover.hpp"
#include "nutmegturn/request_handover.hpp"
#include "nutmegturn/requests.hpp"

#include "coap_text.hpp"

#include <queue>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		using std::chrono::milliseconds;
		using std::chrono::seconds;

		/// Simulation of agents, upstreams, callers and their network, in virtual time and determined by one seed.
		struct simulation
		{
			struct agent
			{
				request_state state;
				incarnation process_incarnation{};
				monotonic_time paused_until{};
			};

			struct operation
			{
				int caller = 0;
				std::uint8_t code = 0;
				coap_type type = coap_type::confirmable;
				std::uint16_t id = 0;
				coap_bytes token;
				coap_bytes echo;
				std::string payload;
				bool acknowledged = false;
				bool done = false;
				int challenges = 0;
			};

			random_source random;
			int agent_count;
			monotonic_time now{seconds{1000}};
			std::vector<agent> agents;
			std::vector<operation> operations;
			std::map<std::string, int> runs;     ///< Number of runs of each POST, by payload.
			std::map<std::string, int> attempts; ///< Number of runs of each POST attempt, by payload and Echo.
			std::set<std::string> reported_not_run;
			std::set<std::tuple<int, std::uint16_t, std::string>> seen;
			std::map<std::string, int> outcomes;
			int wrong = 0;
			int imports = 0;
			int refused_imports = 0;
			monotonic_time partition_until{};
			std::uint64_t order = 0;
			using event = std::tuple<monotonic_time, std::uint64_t, std::shared_ptr<std::function<void()>>>;
			std::priority_queue<event, std::vector<event>, std::greater<>> events;

			simulation(std::uint64_t seed, int n) : random{seed}, agent_count{n}, agents(static_cast<std::size_t>(n))
			{
				for (int i = 0; i < n; ++i)
				{
					start(i);
					schedule(milliseconds{50}, [this, i] { tick(i); });
				}
			}

			void schedule(monotonic_clock::duration delay, std::function<void()> run)
			{
				events.emplace(now + delay, order++, std::make_shared<std::function<void()>>(std::move(run)));
			}

			bool chance(double share)
			{
				return random.uniform() < share;
			}

			milliseconds between(int from, int to)
			{
				return milliseconds{from + static_cast<int>(random.below(static_cast<std::uint64_t>(to - from)))};
			}

			void run_until(monotonic_time end)
			{
				while (!events.empty() && std::get<0>(events.top()) <= end)
				{
					const auto [time, n, run] = events.top();
					events.pop();
					now = time;
					(*run)();
				}
				now = end;
			}

			static upstream_id upstream(int i)
			{
				return upstream_id{100 + static_cast<std::uint64_t>(i)};
			}

			void start(int i)
			{
				auto& it = agents[static_cast<std::size_t>(i)];
				it.process_incarnation = incarnation{random()};
				request_config config;
				config.upstream = upstream(i);
				config.admission.slots = 2;
				config.queue_bound = 4;
				config.issuer = {member_id{static_cast<std::uint64_t>(i)}, it.process_incarnation, upstream(i), {}};
				for (auto& byte : config.issuer.key)
				{
					byte = std::byte(random.below(256));
				}
				it.state = make_request_state(config, now, random);
				// Peers detect the new incarnation after a delay.
				schedule(seconds{2},
						 [this, i]
						 {
							 for (int other = 0; other < agent_count; ++other)
							 {
								 if (other != i)
								 {
									 call(other, requests_on_peer_gone, upstream(i), now, random);
								 }
							 }
						 });
			}

			/// Drains an agent and starts its next process with the exported outcomes, of which one may be missing.
			void restart_as_planned(int i, bool complete)
			{
				auto& it = agents[static_cast<std::size_t>(i)];
				requests_begin_drain(it.state);
				request_handover handover;
				if (requests_export(it.state, now, handover) != handover_refusal::none)
				{
					schedule(milliseconds{50}, [this, i, complete] { restart_as_planned(i, complete); });
					return;
				}
				agent_state before{{.upstream = upstream(i), .service = {}, .agent = {}}, now};
				auto chunks = export_handover(before, &it.state, it.state.config.issuer, {}, 2, now);
				if (!complete && !chunks.back().outcomes.empty())
				{
					chunks.back().outcomes.pop_back();
				}
				schedule(between(100, 3000),
						 [this, i, chunks = std::move(chunks)]
						 {
							 start(i);
							 agent_state after{{.upstream = upstream(i), .service = {}, .agent = {}}, now};
							 const std::array keepers{upstream(8), upstream(9)};
							 auto import = begin_handover(after, keepers, now);
							 // The second keeper is lost in half of the cases.
							 for (std::size_t n = 0; n < (chance(0.5) ? 1U : 2U); ++n)
							 {
								 std::ranges::for_each(chunks, [&](const auto& chunk)
													   { handover_on_chunk(import, keepers[n], chunk); });
							 }
							 const auto result =
								 finish_handover(import, after, &agents[static_cast<std::size_t>(i)].state, now);
							 (result.outcomes ? imports : refused_imports) += 1;
						 });
			}

			void tick(int i)
			{
				auto& it = agents[static_cast<std::size_t>(i)];
				schedule(milliseconds{50}, [this, i] { tick(i); });
				if (now < it.paused_until)
				{
					return;
				}
				if (it.paused_until != monotonic_time{})
				{
					it.paused_until = {};
					call(i, requests_on_pause, now);
					schedule(milliseconds{500}, [&it] { requests_on_resume(it.state); });
				}
				if (chance(0.2))
				{
					std::vector<request_peer> peers;
					for (int other = 0; other < agent_count; ++other)
					{
						if (other != i)
						{
							peers.push_back({upstream(other), endpoint{{}, static_cast<std::uint16_t>(other)},
											 agents[static_cast<std::size_t>(other)].process_incarnation, 1});
						}
					}
					requests_set_peers(it.state, peers);
				}
				call(i, requests_on_tick, now, random);
			}

			/// Calls an event function of an agent, unless it is paused, and executes the actions.
			template <typename F, typename... Args>
			void call(int i, F f, Args&&... args)
			{
				auto& it = agents[static_cast<std::size_t>(i)];
				if (now < it.paused_until)
				{
					return;
				}
				action_list actions;
				f(it.state, std::forward<Args>(args)..., actions);
				for (const auto& action : actions)
				{
					if (const auto* to_upstream = std::get_if<deliver>(&action))
					{
						const coap_bytes bytes{to_upstream->payload.begin(), to_upstream->payload.end()};
						upstream_receives(i, to_upstream->flow, bytes);
					}
					else if (const auto* sent = std::get_if<send_packet>(&action))
					{
						const coap_bytes bytes{sent->payload.begin(), sent->payload.end()};
						const auto header = sent->header;
						const auto to = static_cast<int>(sent->destination.port);
						transmit([this, i, to, header, bytes] { arrive(i, to, header, bytes); });
					}
				}
			}

			/// Transmits with random loss, delay, duplication and reordering.
			void transmit(const std::function<void()>& arrival)
			{
				const int copies = chance(0.05) ? 0 : chance(0.1) ? 2 : 1;
				for (int n = 0; n < copies; ++n)
				{
					schedule(chance(0.05) ? between(100, 6000) : between(1, 10), arrival);
				}
			}

			void arrive(int from, int to, const packet_header& header, const coap_bytes& bytes)
			{
				const packet datagram{header, bytes};
				if (header.kind == packet_kind::answer)
				{
					caller_receives(from, static_cast<int>(header.flow.client.port), bytes);
				}
				else if (now >= partition_until)
				{
					if (header.kind == packet_kind::request_delegate)
					{
						call(to, requests_on_delegate, datagram, endpoint{{}, static_cast<std::uint16_t>(from)},
							 flow_slot{header.flow.client.port}, now);
					}
					else
					{
						call(to, requests_on_delegate_result, datagram, now, random);
					}
				}
			}

			void agent_receives(int i, int caller, const coap_bytes& bytes)
			{
				packet_header header;
				header.flow.client.port = static_cast<std::uint16_t>(caller);
				call(i, requests_on_caller_datagram, packet{header, bytes}, flow_slot{header.flow.client.port}, now,
					 random);
			}

			void upstream_sends(int i, flow_slot flow, incarnation process_incarnation, const coap_bytes& bytes,
								monotonic_clock::duration delay)
			{
				schedule(delay,
						 [this, i, flow, process_incarnation, bytes]
						 {
							 // Sockets of an earlier incarnation of the agent are closed.
							 if (agents[static_cast<std::size_t>(i)].process_incarnation == process_incarnation)
							 {
								 call(i, requests_on_upstream_datagram, flow, bytes, now);
							 }
						 });
			}

			/// Runs every received request, including duplicates, so that a second delivery shows as a second run.
			void upstream_receives(int i, flow_slot flow, const coap_bytes& bytes)
			{
				const auto message = std::get<coap_message>(parse_coap(bytes));
				if (!message.is_request())
				{
					return;
				}
				const auto payload = text(message.payload());
				if (message.code() == coap_code_post)
				{
					++runs[payload];
					++attempts[payload + text(message.echo())];
				}
				const auto process_incarnation = agents[static_cast<std::size_t>(i)].process_incarnation;
				const auto time = chance(0.04) ? between(9000, 14'000) : between(20, 400);
				const auto id = message.message_id();
				const bool shed = chance(0.03);
				auto response =
					encode_coap_response(coap_type::acknowledgement, shed ? coap_code_service_unavailable : 0x45, id,
										 message.token(), "ran " + payload);
				if (chance(0.05))
				{
					// Truncated response: Size2 gives 9 bytes, the payload has 1.
					auto cut = encode_coap_response(coap_type::acknowledgement, 0x45, id, message.token(), {});
					for (const auto byte : {0xd1, 15, 9, 0xff, 0x78})
					{
						cut.push_back(std::byte(byte));
					}
					upstream_sends(i, flow, process_incarnation, cut, time / 2);
				}
				if (chance(0.02))
				{
					return;
				}
				const auto separate = static_cast<std::uint16_t>(random());
				if (message.type() == coap_type::non_confirmable)
				{
					response = with_message_id(response, coap_type::non_confirmable, separate);
				}
				else if (chance(0.4))
				{
					upstream_sends(i, flow, process_incarnation, encode_coap_empty(coap_type::acknowledgement, id),
								   milliseconds{1});
					response = with_message_id(response, coap_type::confirmable, separate);
				}
				upstream_sends(i, flow, process_incarnation, response, time);
				if (chance(0.2))
				{
					upstream_sends(i, flow, process_incarnation, response, time + between(1, 8000));
				}
			}

			void send(std::size_t n)
			{
				const auto& it = operations[n];
				const auto bytes = request(it.type, it.code, it.id, it.token, it.payload, it.echo);
				const int holder = chance(0.04)
									   ? static_cast<int>(random.below(static_cast<std::uint64_t>(agent_count)))
									   : it.caller % agent_count;
				transmit([this, caller = it.caller, bytes, holder] { agent_receives(holder, caller, bytes); });
			}

			/// Sends a request and its retransmissions, as a CoAP caller does.
			void send_with_retransmissions(std::size_t n)
			{
				auto& it = operations[n];
				const auto unique = static_cast<std::uint32_t>(random());
				it.token = {std::byte(unique), std::byte(unique >> 8U), std::byte(unique >> 16U)};
				it.id = static_cast<std::uint16_t>(random());
				it.acknowledged = false;
				send(n);
				for (const int s : {2, 6, 14, 30})
				{
					schedule(seconds{s},
							 [this, n, id = it.id]
							 {
								 if (!operations[n].done && !operations[n].acknowledged && operations[n].id == id)
								 {
									 send(n);
								 }
							 });
				}
				if (chance(0.05))
				{
					schedule(between(1, 500),
							 [this, n]
							 {
								 const auto& op = operations[n];
								 agent_receives(op.caller % agent_count, op.caller,
												encode_coap_empty(coap_type::reset, op.id));
							 });
				}
			}

			void start_operation(int caller)
			{
				operation it;
				it.caller = caller;
				it.code = chance(0.6) ? coap_code_post : chance(0.5) ? coap_code_get : coap_code_put;
				it.type = chance(0.8) ? coap_type::confirmable : coap_type::non_confirmable;
				it.payload = "op" + std::to_string(operations.size());
				operations.push_back(it);
				send_with_retransmissions(operations.size() - 1);
			}

			void caller_receives(int from, int caller, const coap_bytes& bytes)
			{
				const auto message = std::get<coap_message>(parse_coap(bytes));
				if (message.is_empty())
				{
					for (auto& it : operations)
					{
						it.acknowledged = it.acknowledged || (it.caller == caller && it.id == message.message_id());
					}
					return;
				}
				if (message.type() == coap_type::confirmable && chance(0.8))
				{
					agent_receives(from, caller, encode_coap_empty(coap_type::acknowledgement, message.message_id()));
				}
				const auto found =
					std::find_if(operations.begin(), operations.end(),
								 [&](const operation& it)
								 { return it.caller == caller && text(it.token) == text(message.token()); });
				const auto payload = text(message.payload());
				if (found == operations.end())
				{
					return;
				}
				auto& it = *found;
				if (message.code() == coap_code_unauthorized)
				{
					reported_not_run.insert(it.payload + text(it.echo));
					if (!it.done && it.challenges++ < 3)
					{
						const auto echo = message.echo();
						it.echo.assign(echo.begin(), echo.end());
						it.token.clear();
						it.acknowledged = true;
						const auto n = static_cast<std::size_t>(found - operations.begin());
						// Some callers retry when their token has expired or is about to expire.
						schedule(chance(0.05) ? between(100'000, 300'000) : milliseconds{1},
								 [this, n] { send_with_retransmissions(n); });
					}
				}
				else if (payload.starts_with("not run: "))
				{
					reported_not_run.insert(it.payload + text(it.echo));
					it.done = true;
					++outcomes[payload];
				}
				else if (payload.starts_with("outcome unknown: "))
				{
					it.done = true;
					++outcomes[payload];
				}
				else
				{
					wrong += payload == "ran " + it.payload ? 0 : 1;
					it.done = true;
					++outcomes["answered"];
				}
			}
		};

		struct totals
		{
			int operations = 0;
			int second_runs = 0;
			int false_not_run = 0;
			int wrong = 0;
			int delegated = 0;
			int retries = 0;
			int imports = 0;
			int refused_imports = 0;
			std::map<std::string, int> outcomes;
		};

		enum class fault_kind
		{
			unplanned, ///< Restarts without hand-over, pauses and partitions.
			complete,  ///< Planned restarts that hand over all outcomes.
			incomplete ///< Planned restarts that hand over all outcomes but one.
		};

		totals run_history(std::uint64_t seed, fault_kind kind = fault_kind::unplanned)
		{
			constexpr int callers = 12;
			constexpr int agents = 3;
			simulation it{seed, agents};
			const bool faults = kind == fault_kind::unplanned && seed % 4 != 0;
			for (int n = 0; n < 120; ++n)
			{
				it.schedule(it.between(0, 40'000),
							[&it] { it.start_operation(static_cast<int>(it.random.below(callers))); });
			}
			for (int n = 0; faults && n < 3; ++n)
			{
				const auto victim = static_cast<int>(it.random.below(agents));
				it.schedule(it.between(0, 40'000),
							[&it, victim, kind = it.random.below(3)]
							{
								if (kind == 0)
								{
									it.start(victim);
								}
								else if (kind == 1)
								{
									it.agents[static_cast<std::size_t>(victim)].paused_until = it.now + seconds{30};
								}
								else
								{
									it.partition_until = it.now + it.between(500, 20'000);
								}
							});
			}
			for (int n = 0; kind != fault_kind::unplanned && n < agents; ++n)
			{
				it.schedule(it.between(0, 40'000),
							[&it, n, kind] { it.restart_as_planned(n, kind == fault_kind::complete); });
			}
			it.run_until(it.now + seconds{700});
			totals sums;
			sums.operations = static_cast<int>(it.operations.size());
			sums.wrong = it.wrong;
			sums.imports = it.imports;
			sums.refused_imports = it.refused_imports;
			sums.outcomes = it.outcomes;
			for (const auto& [payload, n] : it.runs)
			{
				sums.second_runs += n > 1 ? 1 : 0;
			}
			for (const auto& attempt : it.reported_not_run)
			{
				sums.false_not_run += it.attempts.contains(attempt) ? 1 : 0;
			}
			for (auto& agent : it.agents)
			{
				sums.delegated += static_cast<int>(agent.state.next_sequence) - 1;
				sums.retries += static_cast<int>(agent.state.budget.spent);
				EXPECT_LE(agent.state.budget.spent * 10, agent.state.budget.requests) << "seed " << seed;
				EXPECT_TRUE(requests_idle(agent.state)) << "seed " << seed;
			}
			return sums;
		}
	}

	/// Runs histories with seeds 1 to `histories`, expects no violation, and prints and returns the totals.
	totals check_histories(std::uint64_t histories, fault_kind kind)
	{
		totals sums;
		for (std::uint64_t seed = 1; seed <= histories; ++seed)
		{
			const auto it = run_history(seed, kind);
			EXPECT_EQ(it.second_runs, 0) << "seed " << seed;
			EXPECT_EQ(it.false_not_run, 0) << "seed " << seed;
			EXPECT_EQ(it.wrong, 0) << "seed " << seed;
			sums.operations += it.operations;
			sums.delegated += it.delegated;
			sums.retries += it.retries;
			sums.second_runs += it.second_runs;
			sums.false_not_run += it.false_not_run;
			sums.wrong += it.wrong;
			sums.imports += it.imports;
			sums.refused_imports += it.refused_imports;
			for (const auto& [name, n] : it.outcomes)
			{
				sums.outcomes[name] += n;
			}
		}
		std::printf(
			"%llu histories, %d requests, %d delegations, %d retries, second runs %d, false not run %d, wrong %d; "
			"imports %d, refused %d\n",
			static_cast<unsigned long long>(histories), sums.operations, sums.delegated, sums.retries, sums.second_runs,
			sums.false_not_run, sums.wrong, sums.imports, sums.refused_imports);
		for (const auto& [name, n] : sums.outcomes)
		{
			std::printf("  %s: %d\n", name.c_str(), n);
		}
		return sums;
	}

	// Fails if a POST runs twice, a request that ran is reported as not run, or a caller gets the response to another
	// request. The faults are loss, duplication, reordering, late and crossed responses, cancellations, deadlines,
	// restarts that lose all state, pauses of 30 s, retransmissions to other agents and partitions between agents.
	TEST(generated_request_histories, show_no_second_run_no_false_rejection_and_no_wrong_response)
	{
		auto sums = check_histories(400, fault_kind::unplanned);
		// The histories are meaningful only if they reach every kind of outcome.
		for (const auto* name :
			 {"answered", "not run: queue_full", "not run: paused", "outcome unknown: deadline_passed",
			  "outcome unknown: token_foreign", "outcome unknown: token_expired"})
		{
			EXPECT_GT(sums.outcomes[name], 0) << name;
		}
		EXPECT_GT(sums.delegated, 0);
	}

	// Fails if the next process of an agent, which answers for requests of the previous one, runs a request a second
	// time or falsely reports it as not run.
	TEST(generated_request_histories, stay_free_of_second_runs_when_the_outcomes_are_handed_over)
	{
		const auto sums = check_histories(200, fault_kind::complete);
		EXPECT_EQ(sums.imports, 600);
		EXPECT_EQ(sums.refused_imports, 0);
	}

	// Fails if an agent answers from an incomplete table.
	TEST(generated_request_histories, report_unknown_outcomes_when_the_handed_over_table_is_incomplete)
	{
		auto sums = check_histories(200, fault_kind::incomplete);
		EXPECT_GT(sums.refused_imports, 500);
		EXPECT_GT(sums.outcomes["outcome unknown: token_foreign"], 0);
	}

	/// One agent whose actions are recorded for inspection.
	class requests_of_one_upstream : public testing::Test
	{
	protected:
		request_state make(double slots = 2)
		{
			request_config config;
			config.upstream = upstream_id{100};
			config.admission.slots = slots;
			config.queue_bound = 4;
			config.issuer = {member_id{1}, incarnation{7}, upstream_id{100}, {std::byte{1}}};
			return make_request_state(config, now, random);
		}

		/// Processes a request of a caller, identified by its port, and returns the first message that is sent.
		coap_bytes send(request_state& state, std::uint16_t caller, std::uint8_t code, std::uint16_t id,
						const std::string& payload, const coap_bytes& echo = {}, const coap_bytes& token = {})
		{
			const auto bytes = request(coap_type::confirmable, code, id, token, payload, echo);
			packet_header header;
			header.flow.client = {{{std::uint8_t(caller)}}, caller};
			actions.clear();
			requests_on_caller_datagram(state, {header, bytes}, flow_slot{caller}, now, random, actions);
			return first();
		}

		coap_bytes from_upstream(request_state& state, std::uint16_t caller, const coap_bytes& bytes)
		{
			actions.clear();
			requests_on_upstream_datagram(state, flow_slot{caller}, bytes, now, actions);
			return first();
		}

		/// Answers a request from the upstream with a piggybacked response.
		coap_bytes answer(request_state& state, std::uint16_t caller, std::uint16_t id, const std::string& payload,
						  const coap_bytes& token = {})
		{
			return from_upstream(state, caller,
								 encode_coap_response(coap_type::acknowledgement, 0x44, id, token, payload));
		}

		/// Returns the first message that the last call sent.
		coap_bytes first() const
		{
			for (const auto& it : actions)
			{
				if (const auto* sent = std::get_if<send_packet>(&it))
				{
					return {sent->payload.begin(), sent->payload.end()};
				}
				if (const auto* delivered = std::get_if<deliver>(&it))
				{
					return {delivered->payload.begin(), delivered->payload.end()};
				}
			}
			return {};
		}

		std::string payload() const
		{
			const auto bytes = first();
			return bytes.empty() ? "" : text(std::get<coap_message>(parse_coap(bytes)).payload());
		}

		coap_bytes token(const request_state& state)
		{
			const auto it = issue_fencing_token(state.config.issuer, now);
			return {it.begin(), it.end()};
		}

		void tick(request_state& state)
		{
			actions.clear();
			requests_on_tick(state, now, random, actions);
		}

		monotonic_time now{seconds{1000}};
		random_source random{1};
		action_list actions;
	};

	// Fails if a request is reported as not run after it was sent to the upstream, or as unknown before.
	TEST_F(requests_of_one_upstream, report_a_passed_deadline_as_not_run_only_before_dispatch)
	{
		auto state = make(1);
		send(state, 1, coap_code_post, 1, "running", token(state));
		send(state, 2, coap_code_post, 2, "waiting", token(state));
		now += seconds{10};
		tick(state);
		std::vector<std::string> sent;
		for (const auto& it : actions)
		{
			if (const auto* packet = std::get_if<send_packet>(&it))
			{
				const coap_bytes bytes{packet->payload.begin(), packet->payload.end()};
				sent.push_back(text(std::get<coap_message>(parse_coap(bytes)).payload()));
			}
		}
		EXPECT_EQ(sent, (std::vector<std::string>{"outcome unknown: deadline_passed", "not run: deadline_passed"}));
		// The upstream got a reset as cancellation. Its late response is stored for retransmissions of the request.
		const auto response = encode_coap_response(coap_type::acknowledgement, 0x44, 1, {}, "done");
		EXPECT_TRUE(from_upstream(state, 1, response).empty());
		EXPECT_TRUE(requests_idle(state));
	}

	// Fails if a late response is matched to a newer request with the same CoAP token.
	TEST_F(requests_of_one_upstream, do_not_match_a_late_response_to_a_newer_request_with_the_same_token)
	{
		auto state = make();
		send(state, 1, coap_code_get, 1, "old");
		now += seconds{10};
		tick(state);
		send(state, 1, coap_code_get, 2, "new");
		EXPECT_EQ(payload(), "not run: replayed");
		const auto late = encode_coap_response(coap_type::non_confirmable, 0x45, 99, {}, "old");
		EXPECT_TRUE(from_upstream(state, 1, late).empty());
		send(state, 1, coap_code_get, 3, "new");
		EXPECT_TRUE(from_upstream(state, 1, late).empty()) << "repeat of a response";
		EXPECT_FALSE(
			from_upstream(state, 1, encode_coap_response(coap_type::acknowledgement, 0x45, 3, {}, "new")).empty());
		EXPECT_EQ(payload(), "new");
	}

	// Fails if a request that was rejected for a full table, and so has no entry, runs on a retransmission.
	TEST_F(requests_of_one_upstream, never_run_what_a_full_table_rejected)
	{
		auto state = make(20);
		state.table = request_table{2};
		const auto echo = token(state);
		now += milliseconds{1};
		send(state, 1, coap_code_post, 1, "a", echo, {std::byte{1}});
		answer(state, 1, 1, "a", {{std::byte{1}}});
		send(state, 1, coap_code_post, 2, "b", echo, {std::byte{2}});
		answer(state, 1, 2, "b", {{std::byte{2}}});
		send(state, 1, coap_code_post, 3, "c", echo, {std::byte{3}});
		EXPECT_EQ(payload(), "not run: table_full");
		state.table = request_table{2}; // Empty again, as after the retention time.
		const auto repeat = send(state, 1, coap_code_post, 4, "c", echo, {std::byte{3}});
		EXPECT_EQ(std::get<coap_message>(parse_coap(repeat)).code(), coap_code_unauthorized);
	}

	// Fails if a draining agent accepts a new request, or interrupts one in progress.
	TEST_F(requests_of_one_upstream, end_normally_while_draining)
	{
		auto state = make();
		send(state, 1, coap_code_post, 1, "a", token(state));
		requests_begin_drain(state);
		send(state, 2, coap_code_post, 2, "b", token(state));
		EXPECT_EQ(payload(), "not run: upstream_draining");
		EXPECT_FALSE(requests_idle(state));
		answer(state, 1, 1, "a");
		EXPECT_EQ(payload(), "a");
		EXPECT_TRUE(requests_idle(state));
	}

	// Fails if a caller group with high demand starves the others. Four groups have 1, 2, 4 and 8 times the demand, all
	// above their equal share. The test compares refusals relative to those of max-min fairness (demand less the equal
	// share), requests served, and the mean waiting time of served requests.
	TEST_F(requests_of_one_upstream, are_refused_and_wait_evenly_over_unequal_caller_groups)
	{
		auto state = make(2);
		state.queue = caller_queue<request_entry*>{request_config{}.queue_bound};
		std::array<double, 4> served{};
		std::array<double, 4> demand{};
		std::array<double, 4> waited{};
		std::map<std::uint16_t, monotonic_time> sent_at;
		std::vector<std::tuple<monotonic_time, std::uint16_t, coap_bytes>> running;
		std::uint16_t id = 0;
		const auto collect = [&]
		{
			for (const auto& it : actions)
			{
				if (const auto* delivered = std::get_if<deliver>(&it))
				{
					const auto message = std::get<coap_message>(parse_coap(delivered->payload));
					const auto group = static_cast<std::size_t>(delivered->flow) - 1;
					++served[group];
					waited[group] += std::chrono::duration<double>(now - sent_at[message.message_id()]).count();
					const auto token = message.token();
					running.emplace_back(
						now + milliseconds{100}, static_cast<std::uint16_t>(group + 1),
						encode_coap_response(coap_type::acknowledgement, 0x45, message.message_id(), token, "x"));
				}
			}
		};
		for (int ms = 0; ms < 60'000; ++ms)
		{
			now += milliseconds{1};
			state.admission.limit = 2;
			for (std::uint16_t group = 0; group < 4; ++group)
			{
				if (random.uniform() < 0.008 * (1 << group))
				{
					++demand[group];
					sent_at[++id] = now;
					send(state, static_cast<std::uint16_t>(group + 1), coap_code_get, id, "x", {},
						 {std::byte(id & 0xffU), std::byte(id >> 8U)});
					collect();
				}
			}
			while (!running.empty() && std::get<0>(running.front()) <= now)
			{
				const auto [time, caller, bytes] = running.front();
				running.erase(running.begin());
				from_upstream(state, caller, bytes);
				collect();
			}
		}
		const auto jain = [](const std::array<double, 4>& values)
		{
			double sum = 0;
			double squares = 0;
			for (const auto it : values)
			{
				sum += it;
				squares += it * it;
			}
			return sum * sum / (4 * squares);
		};
		std::array<double, 4> wait{};
		std::array<double, 4> refused{};
		const auto share = (served[0] + served[1] + served[2] + served[3]) / 4;
		for (std::size_t i = 0; i < 4; ++i)
		{
			wait[i] = waited[i] / served[i];
			refused[i] = (demand[i] - served[i]) / (demand[i] - share);
			std::printf("group %zu: demand %.0f, served %.0f, refused share %.3f, mean wait %.1f ms\n", i, demand[i],
						served[i], 1 - served[i] / demand[i], 1000 * wait[i]);
		}
		std::printf("Jain's index: refusals %.4f, served %.4f, waiting %.4f\n", jain(refused), jain(served),
					jain(wait));
		EXPECT_GE(jain(refused), 0.99);
		EXPECT_GE(jain(served), 0.99);
		EXPECT_GE(jain(wait), 0.99);
	}

	// Fails if an export omits requests in progress, or if the exporting process runs requests afterwards.
	TEST_F(requests_of_one_upstream, are_exported_only_when_all_have_an_outcome)
	{
		auto state = make();
		request_handover handover;
		EXPECT_EQ(requests_export(state, now, handover), handover_refusal::in_progress) << "not draining";
		send(state, 1, coap_code_post, 1, "a", token(state));
		requests_begin_drain(state);
		EXPECT_EQ(requests_export(state, now, handover), handover_refusal::in_progress) << "running";
		answer(state, 1, 1, "a");
		EXPECT_EQ(requests_export(state, now, handover), handover_refusal::none);
		EXPECT_EQ(handover.outcomes.size(), 1U);
		EXPECT_TRUE(send(state, 1, coap_code_post, 2, "b", token(state)).empty());
	}

	// Fails if a request of the previous process is falsely reported as not run, or if a table is partly imported.
	TEST_F(requests_of_one_upstream, are_answered_by_the_next_process_only_from_a_complete_table)
	{
		auto before = make();
		const auto ran = token(before);
		now += milliseconds{1};
		const auto unused = token(before);
		send(before, 1, coap_code_post, 1, "a", ran);
		answer(before, 1, 1, "done");
		requests_begin_drain(before);
		request_handover good;
		ASSERT_EQ(requests_export(before, now, good), handover_refusal::none);
		const auto next = [this]
		{
			auto state = make();
			state.config.issuer.process_incarnation = incarnation{8};
			state.config.issuer.key = {std::byte{2}};
			return state;
		};
		const std::vector<std::pair<handover_refusal, std::function<void(request_handover&)>>> refused{
			{handover_refusal::wrong_owner, [](auto& it) { it.issuer.agent = member_id{2}; }},
			{handover_refusal::wrong_owner, [](auto& it) { it.issuer.upstream = upstream_id{101}; }},
			{handover_refusal::wrong_owner, [](auto& it) { it.issuer.process_incarnation = incarnation{8}; }},
			{handover_refusal::wrong_owner, [](auto& it) { it.service = service_id{9}; }},
			{handover_refusal::incomplete, [](auto& it) { it.outcomes.clear(); }},
			{handover_refusal::too_large,
			 [](auto& it) { it.outcomes[0].response.resize(max_kept_response_bytes + 1); }},
			{handover_refusal::bad_outcome, [](auto& it) { it.outcomes[0].status = request_status::running; }},
			{handover_refusal::bad_outcome, [](auto& it) { it.outcomes[0].remaining = outcome_retention * 2; }},
			{handover_refusal::bad_outcome, [](auto& it)
			 {
				 it.outcomes.push_back(it.outcomes[0]);
				 it.expected = 2;
			 }}};
		for (const auto& [why, change] : refused)
		{
			auto bad = good;
			change(bad);
			auto state = next();
			EXPECT_EQ(requests_import(state, bad, now), why);
			EXPECT_EQ(state.table.size(), 0U);
			send(state, 1, coap_code_post, 2, "a", ran);
			EXPECT_EQ(payload(), "outcome unknown: token_foreign") << to_string(why);
		}
		auto state = next();
		ASSERT_EQ(requests_import(state, good, now), handover_refusal::none);
		EXPECT_EQ(requests_import(state, good, now), handover_refusal::not_empty);
		send(state, 1, coap_code_post, 2, "a", ran);
		EXPECT_EQ(payload(), "done");
		const auto challenge = send(state, 1, coap_code_post, 3, "b", unused);
		EXPECT_EQ(std::get<coap_message>(parse_coap(challenge)).code(), coap_code_unauthorized);
		// The entry has expired, so a request with its token may have run.
		now += outcome_retention;
		tick(state);
		send(state, 1, coap_code_post, 4, "a", ran);
		EXPECT_EQ(payload(), "outcome unknown: token_foreign");
	}
}
