#pragma once

#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/random.hpp"

#include "flows.hpp"
#include "runtime/poller.hpp"
#include "runtime/udp.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegturn::standin
{
	/// Load of CoAP requests.
	struct request_options
	{
		std::vector<service_address> services;
		double per_second = 0;                        ///< Request rate of all services together.
		double post_share = 0.5;                      ///< Share of requests that are not idempotent.
		std::size_t callers = 64;                     ///< Sockets for each service.
		std::chrono::milliseconds deadline{5'000};    ///< Time from the start of a request until its caller gives up.
		std::chrono::milliseconds socket_lifetime{0}; ///< Mean time until a caller replaces its socket; 0 for never.
	};

	/// Results of the requests as their callers received them.
	struct request_counts
	{
		std::uint64_t started = 0;
		std::uint64_t answered = 0;
		std::uint64_t refused = 0;         ///< The last response was "not run".
		std::uint64_t outcome_unknown = 0; ///< The last response was "outcome unknown", or a POST got no response.
		std::uint64_t unanswered = 0;      ///< Idempotent requests without a response within the deadline.
		std::uint64_t retries = 0;
		std::uint64_t wrong_answers = 0;  ///< Responses that are malformed, unexpected or not confirmed by an upstream.
		std::uint64_t misdelivered = 0;   ///< Responses from an upstream of another service.
		std::uint64_t duplicate_runs = 0; ///< Runs of a POST beyond its first.
		std::uint64_t false_not_run = 0;  ///< Attempts that ran although the response was "not run".
		std::map<std::string, std::uint64_t>
			reasons; ///< By diagnostic payload of the rejection, or cause seen by the caller.
	};

	/// Callers of CoAP services. They retry a request after the response "not run", and after "outcome unknown" only if
	/// the request is idempotent. A POST carries the fencing token (Echo option) that a 4.01 response provided for it.
	class request_callers
	{
	public:
		/// Bit that distinguishes labels of this class in a poller shared with flows.
		static constexpr std::uint64_t label_flag = 1ULL << 32U;

		/// Opens a socket for each caller.
		request_callers(request_options options, std::uint64_t seed, runtime::poller& poller);

		/// Starts and retransmits requests that are due and gives up those past their deadline.
		void tick();

		/// Reads all messages queued in a caller's socket.
		/// \param label	Label of the socket in the poller.
		void read(std::uint64_t label);

		/// Stops starting requests; pending ones continue.
		void freeze()
		{
			frozen_ = true;
		}

		/// Returns the number of requests without an outcome.
		[[nodiscard]] std::size_t pending_count() const
		{
			return pending_.size();
		}

		/// Returns the counts up to now.
		/// \param runs		Number of runs of each attempt, as reported by the upstreams.
		/// \param complete	Whether the upstreams have reported; if not, results are not compared with `runs`.
		[[nodiscard]] request_counts counts(const std::map<std::string, std::uint64_t>& runs, bool complete) const;

	private:
		struct caller_state
		{
			runtime::file_descriptor fd;
			std::size_t service = 0;
			std::uint16_t port = 0;
			std::uint16_t next_message_id = 0;
			load_clock::time_point replace_at; ///< Time from which the socket is replaced once no request is pending.
		};

		struct pending_request
		{
			std::uint64_t id = 0;
			std::uint32_t attempt = 0;
			bool post = false;
			std::size_t caller = 0;
			std::uint16_t message_id = 0;
			std::vector<std::byte> echo;
			std::vector<std::byte> message; ///< Empty while the request waits for its retry.
			bool acknowledged = false;
			bool may_have_run = false;        ///< An earlier attempt may have run although no response confirmed it.
			load_clock::time_point next_send; ///< Time of the next retransmission or retry.
			std::chrono::milliseconds retransmission_timeout{0};
			load_clock::time_point deadline;
		};

		/// Attempt with a known outcome, kept to check late responses.
		struct finished_attempt
		{
			std::uint64_t id = 0;
			std::uint32_t attempt = 0;
			std::uint16_t port = 0; ///< Source port of the caller.
		};

		void open_socket(std::size_t index);
		void replace_sockets(load_clock::time_point now);
		void send(pending_request& request);
		void schedule_retry(pending_request request, std::chrono::milliseconds delay);
		void handle_response(std::size_t caller, const coap_message& message);
		void handle_reset(std::size_t caller, std::uint16_t message_id);
		void check_response(std::uint64_t id, std::uint32_t attempt, std::size_t caller, const std::string& text);
		[[nodiscard]] static std::string attempt_name(std::uint64_t id, std::uint32_t attempt);

		request_options options_;
		random_source random_;
		runtime::poller& poller_;
		std::vector<caller_state> callers_;
		std::unordered_map<std::uint64_t, pending_request> pending_;            ///< By token.
		std::unordered_map<std::uint64_t, finished_attempt> finished_attempts_; ///< By token.
		std::set<std::string> not_run_attempts_;                                ///< Names of attempts.
		std::set<std::string> answered_attempts_;                               ///< Names of attempts.
		std::set<std::uint64_t> post_ids_;
		request_counts counts_;
		load_clock::time_point started_ = load_clock::now();
		bool frozen_ = false;
	};
}
