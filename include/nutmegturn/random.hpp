#pragma once

#include <cstdint>
#include <limits>

namespace nutmegturn
{
	/// SplitMix64 generator. All random decisions use this generator, so a run can be reproduced from its seed with any
	/// standard library. Satisfies `std::uniform_random_bit_generator`.
	class random_source
	{
	public:
		using result_type = std::uint64_t;

		/// Creates a generator; equal seeds produce equal sequences.
		explicit constexpr random_source(std::uint64_t seed) noexcept : state_{seed} {}

		/// Returns the smallest value that the generator produces.
		[[nodiscard]] static constexpr result_type min() noexcept
		{
			return 0;
		}

		/// Returns the largest value that the generator produces.
		[[nodiscard]] static constexpr result_type max() noexcept
		{
			return std::numeric_limits<result_type>::max();
		}

		/// Returns the next 64 random bits.
		constexpr result_type operator()() noexcept
		{
			state_ += 0x9e3779b97f4a7c15U;
			std::uint64_t bits = state_;
			bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
			bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
			return bits ^ (bits >> 31U);
		}

		/// Returns a uniformly distributed value below `bound`.
		/// \param bound	Exclusive upper bound; 0 returns 0. The modulo bias is below `bound` / 2^64.
		[[nodiscard]] constexpr std::uint64_t below(std::uint64_t bound) noexcept
		{
			return bound == 0 ? 0 : operator()() % bound;
		}

		/// Returns a uniformly distributed value in [0, 1).
		[[nodiscard]] constexpr double uniform() noexcept
		{
			return static_cast<double>(operator()() >> 11U) * 0x1.0p-53;
		}

	private:
		std::uint64_t state_;
	};
}
