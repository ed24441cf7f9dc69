#include "nutmegturn/random.hpp"
#include "nutmegturn/request_table.hpp"

#include "measurement.hpp"

#include <array>
#include <chrono>
#include <cstring>

namespace capacity
{
	std::vector<measurement> measure_requests()
	{
		using namespace nutmegturn;
		constexpr auto source = "src/request_table.cpp";
		constexpr std::size_t response_size = 64;
		constexpr std::array<std::size_t, 4> sizes{1'000, 4'000, 16'000, 65'536};
		const std::string unit = "request outcomes";
		measurement bytes{"request outcomes with responses of 64 bytes", unit, "bytes", source, {}};
		measurement cpu{"request outcomes, insertion and expiry", unit, "us of processor time", source, {}};
		for (const auto n : sizes)
		{
			const auto before = heap_in_use();
			request_table table;
			random_source random{1};
			monotonic_time now{std::chrono::hours{1}};
			const auto start = thread_cpu_time();
			for (std::size_t i = 0; i < n; ++i)
			{
				request_identity id;
				const auto bits = random();
				std::memcpy(&id.client.ip.bytes[8], &bits, sizeof bits);
				id.client.port = static_cast<std::uint16_t>(i);
				id.token.size = 8;
				std::memcpy(id.token.bytes.data(), &bits, sizeof bits);
				auto* entry = table.insert(id);
				entry->status = request_status::answered;
				table.keep_response(*entry, coap_bytes(response_size));
				table.retain(*entry, now);
			}
			const auto filled = thread_cpu_time() - start;
			bytes.points.push_back({static_cast<double>(n), static_cast<double>(heap_in_use() - before)});
			const auto expiry = thread_cpu_time();
			table.expire(now + 2 * outcome_retention);
			cpu.points.push_back({static_cast<double>(n), microseconds(filled + thread_cpu_time() - expiry)});
		}
		return {bytes, cpu};
	}
}
