#pragma once

#include <unistd.h>

#include <utility>

namespace nutmegturn::runtime
{
	/// Owns a POSIX file descriptor and closes it on destruction.
	class file_descriptor
	{
	public:
		/// Constructs an empty object.
		file_descriptor() noexcept = default;

		/// Takes ownership of an open descriptor; a negative value means none.
		explicit file_descriptor(int fd) noexcept : fd_{fd} {}

		file_descriptor(const file_descriptor&) = delete;
		file_descriptor& operator=(const file_descriptor&) = delete;

		file_descriptor(file_descriptor&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}

		file_descriptor& operator=(file_descriptor&& other) noexcept
		{
			std::swap(fd_, other.fd_);
			return *this;
		}

		~file_descriptor()
		{
			reset();
		}

		/// Returns the descriptor, or -1 if none is held.
		[[nodiscard]] int get() const noexcept
		{
			return fd_;
		}

		/// Returns whether a descriptor is held.
		[[nodiscard]] explicit operator bool() const noexcept
		{
			return fd_ >= 0;
		}

		/// Closes the descriptor, if any.
		void reset() noexcept
		{
			if (fd_ >= 0)
			{
				::close(std::exchange(fd_, -1));
			}
		}

	private:
		int fd_ = -1;
	};
}
