#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/impl/hash_index.hpp"
#include "nutmegturn/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nutmegturn
{
	/// Cause of a redirect.
	enum class redirect_kind : std::uint8_t
	{
		searched, ///< A search for the flow created it.
		refused,  ///< The named holder placed the flow here, and this agent refused it.
		placed,   ///< The flow was placed at the holder.
		announced ///< The holder announced the flow.
	};

	/// Soft state "flow hash -> holder" of an agent that does not hold the flow.
	struct redirect
	{
		std::uint64_t hash = 0;
		upstream_id holder{}; ///< The own id marks a search in progress.
		endpoint agent;       ///< Data endpoint of the holder's agent.
		redirect_kind kind = redirect_kind::searched;
		monotonic_time refreshed_at; ///< Last refresh.
		monotonic_time expires;
		std::uint32_t newer = 0; ///< Next entry by expiry + 1, or 0.
		std::uint32_t older = 0; ///< Previous entry by expiry + 1, or 0.

		/// Returns whether a placement or the holder's announcement confirms the redirect.
		[[nodiscard]] bool confirmed() const noexcept
		{
			return kind >= redirect_kind::placed;
		}
	};

	/// Redirects of one upstream's agent. All have the same lifetime, so a list in order of the last refresh is in
	/// order of expiry too.
	class redirect_table
	{
	public:
		/// Creates a table.
		/// \param capacity	Largest number of redirects; beyond it the oldest is dropped.
		/// \param lifetime	Time from the last refresh to the expiry.
		explicit redirect_table(std::size_t capacity, monotonic_clock::duration lifetime);

		/// Returns the redirect of a flow, or null.
		[[nodiscard]] const redirect* find(std::uint64_t hash) const noexcept;

		/// Sets or refreshes a redirect.
		void set(std::uint64_t hash, upstream_id holder, const endpoint& agent, redirect_kind kind, monotonic_time now);

		/// Removes a redirect if it is present.
		void erase(std::uint64_t hash) noexcept;

		/// Removes expired redirects.
		void expire(monotonic_time now) noexcept;

		/// Number of redirects.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return size_;
		}

		/// Number of redirects dropped because the table was full.
		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return dropped_;
		}

	private:
		void unlink(std::uint32_t position) noexcept;
		void link_newest(std::uint32_t position) noexcept;
		void erase_at(std::uint32_t position) noexcept;

		detail::hash_index index_;
		std::vector<redirect> entries_;
		std::size_t capacity_;
		monotonic_clock::duration lifetime_;
		std::size_t size_ = 0;
		std::uint64_t dropped_ = 0;
		std::uint32_t oldest_ = 0;
		std::uint32_t newest_ = 0;
		std::uint32_t free_ = 0;
	};
}
