#include "command.hpp"
#include "fleet_status.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <thread>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		constexpr std::chrono::milliseconds default_interval{1'000};
		constexpr std::string_view clear_screen = "\x1b[H\x1b[2J";

		std::string format_table(const fleet_status& fleet)
		{
			auto text =
				fmt::format("{:<28} {:<9} {:<24} {:<12} {:>10}\n", "process", "role", "zone", "state", "revision");
			for (const auto& it : fleet.processes)
			{
				text += it.error.empty() ? fmt::format("{:<28} {:<9} {:<24} {:<12} {:>10}\n", it.name, it.role, it.zone,
													   it.state, it.revision)
										 : fmt::format("{:<28} no answer: {}\n", it.url, it.error);
			}
			text += "\nzones:";
			for (const auto& it : fleet.zones)
			{
				text += fmt::format(" {} {};", it.name, it.state);
			}
			text += fmt::format("\n\n{:<40} {:<28} {:<10} {:>9} {:>11} {:>10} {:>9}\n", "upstream", "service", "state",
								"flows", "in progress", "admitted", "refused");
			for (const auto& it : fleet.upstreams)
			{
				text += fmt::format("{:<40} {:<28} {:<10} {:>9} {:>11} {:>10} {:>9}\n", it.name, it.service, it.state,
									format_count(it.flows), format_count(it.in_progress), format_count(it.admitted),
									format_count(it.refused));
			}
			return text;
		}
	}

	int run_top(const parsed_command_line& line)
	{
		const auto urls = daemon_urls(line);
		const auto text = line.value("interval", std::to_string(default_interval.count()));
		unsigned interval = 0;
		const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), interval);
		if (urls.empty() || ec != std::errc{} || end != text.data() + text.size() || interval == 0)
		{
			fmt::print(stderr,
					   "nutmegturnctl: top requires at least one --daemon URL and a positive --interval; see --help\n");
			return exit_usage;
		}
		const bool once = line.has("once") || line.has("json");
		for (;;)
		{
			const auto fleet = read_fleet(urls);
			if (line.has("json"))
			{
				print_json(to_json(fleet));
			}
			else
			{
				fmt::print("{}{}", once ? std::string_view{} : clear_screen, format_table(fleet));
				std::fflush(stdout);
			}
			if (once)
			{
				const bool answered =
					std::ranges::all_of(fleet.processes, [](const process_row& it) { return it.error.empty(); });
				return answered ? exit_ok : exit_no_answer;
			}
			std::this_thread::sleep_for(std::chrono::milliseconds{interval});
		}
	}
}
