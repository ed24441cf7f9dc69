#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/random.hpp"

#include "runtime/poller.hpp"
#include "runtime/udp.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace nutmegturn::standin
{
	using load_clock = std::chrono::steady_clock;

	/// Address that callers send to, and the service expected there.
	struct service_address
	{
		endpoint ep;
		std::string name;
	};

	/// Load of datagram flows.
	struct flow_options
	{
		std::vector<service_address> services;
		std::size_t flows = 0;                   ///< Concurrent flows of each service.
		double opened_per_second = 50;           ///< Opening rate of each service until all its flows are open.
		double short_share = 0;                  ///< Share of short flows, which end and are replaced by new ones.
		std::chrono::milliseconds interval{200}; ///< Time between two datagrams of a flow.
		std::chrono::milliseconds short_lifetime{8'000}; ///< Mean lifetime of short flows.
	};

	/// Results of the flows as their callers observed them.
	struct flow_counts
	{
		std::uint64_t opened = 0;
		std::uint64_t sent = 0;
		std::uint64_t answered = 0;
		std::uint64_t broken = 0;        ///< Flows that moved to another upstream or that their upstream saw as new.
		std::uint64_t given_up = 0;      ///< Flows that broke in the same way in a zone that was taken out.
		std::uint64_t unanswered = 0;    ///< Established flows without an answer for 3 s at the end.
		std::uint64_t never_open = 0;    ///< Flows that have no answer at all at the end.
		std::uint64_t misdelivered = 0;  ///< Answers from an upstream of another service.
		std::uint64_t wrong_answers = 0; ///< Answers that are malformed or belong to no datagram of the flow.
		double imbalance = 0;            ///< Largest number of flows at an upstream divided by the mean; worst service.
		std::chrono::milliseconds longest_silence{0}; ///< Longest time between two answers of an established flow.
	};

	/// Callers of plain datagram services. Each flow has its own socket and sends datagrams with sequence numbers.
	class flow_callers
	{
	public:
		/// Prepares the callers; sockets are opened as flows open.
		/// \param poller	Watches the sockets; labels are indices of flows.
		flow_callers(flow_options options, std::uint64_t seed, runtime::poller& poller);

		/// Opens and replaces flows and sends datagrams that are due.
		void tick();

		/// Reads all answers queued in the socket of a flow.
		/// \param label	Label of the flow in the poller.
		void read(std::uint64_t label);

		/// Counts flows that break in this zone as given up instead of broken, from now on.
		void excuse_zone(const std::string& zone)
		{
			excused_zones_.insert(zone);
		}

		/// Stops opening and closing flows; open flows continue to send.
		void freeze()
		{
			frozen_ = true;
		}

		/// Returns the counts up to now.
		/// \param upstreams	Upstreams by service; the imbalance includes those without flows.
		[[nodiscard]] flow_counts counts(const std::map<std::string, std::set<std::string>>& upstreams) const;

		/// Returns the number of flows that received an answer within the last second.
		[[nodiscard]] std::size_t active() const;

	private:
		struct flow_state
		{
			runtime::file_descriptor fd;
			std::size_t service = 0;
			bool is_short = false;
			std::uint64_t id = 0;
			std::uint64_t sequence = 0;
			std::uint64_t highest_answered = 0; ///< Highest sequence number that was answered.
			std::string upstream; ///< Name of the upstream and its number of the flow; empty before the first answer.
			load_clock::time_point next_send;
			load_clock::time_point last_answer;
			load_clock::time_point ends_at;
		};

		void open(flow_state& flow, std::size_t service, bool is_short);
		void handle_answer(flow_state& flow, std::string_view answer);
		[[nodiscard]] bool is_excused(std::string_view upstream) const;

		flow_options options_;
		random_source random_;
		runtime::poller& poller_;
		std::vector<flow_state> flows_;
		std::vector<std::size_t> opened_; ///< Number of flows opened so far, by service.
		std::set<std::string> excused_zones_;
		flow_counts counts_;
		load_clock::time_point started_ = load_clock::now();
		bool frozen_ = false;
	};
}
