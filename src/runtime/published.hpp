#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace nutmegturn::runtime
{
	/// Immutable value that one thread replaces and other threads read without locking a mutex. Readers load the
	/// pointer once per batch and hold it for the duration of the batch.
	template <typename T>
	class published
	{
	public:
		/// Replaces the value.
		void store(std::shared_ptr<const T> next) noexcept
		{
			value_.store(std::move(next), std::memory_order_release);
		}

		/// Returns the current value, or null before the first `store`.
		[[nodiscard]] std::shared_ptr<const T> load() const noexcept
		{
			return value_.load(std::memory_order_acquire);
		}

	private:
		std::atomic<std::shared_ptr<const T>> value_;
	};
}
