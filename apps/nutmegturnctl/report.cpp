#include "command.hpp"
#include "fleet_status.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace nutmegturn::ctl
{
	using namespace nutmegturn::runtime;

	namespace
	{
		std::string escape_html(const std::string& text)
		{
			return to_qstring(text).toHtmlEscaped().toStdString();
		}

		/// Returns an SVG bar whose length is relative to the largest value of its column. Returns an empty text if the
		/// count is not reported or all values are 0.
		std::string svg_bar(const std::optional<std::int64_t>& count, std::int64_t largest)
		{
			if (!count || largest <= 0)
			{
				return {};
			}
			constexpr std::int64_t width = 120;
			return fmt::format(R"(<svg width="{}" height="10"><rect width="{}" height="10" fill="#4a7"/></svg>)", width,
							   std::max<std::int64_t>(0, *count) * width / largest);
		}

		std::string table_row(std::initializer_list<std::string> texts)
		{
			std::string row;
			for (const auto& it : texts)
			{
				row += "<td>" + it + "</td>";
			}
			return "<tr>" + row + "</tr>\n";
		}

		std::string html_page(const fleet_status& fleet)
		{
			std::string page =
				"<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>nutmegturn</title>\n"
				"<style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:left}</style>\n"
				"<h1>nutmegturn</h1>\n<h2>Processes</h2>\n<table>\n<tr><th>process<th>role<th>zone<th>state"
				"<th>revision</tr>\n";
			for (const auto& it : fleet.processes)
			{
				page += it.error.empty() ? table_row({escape_html(it.name), escape_html(it.role), escape_html(it.zone),
													  escape_html(it.state), std::to_string(it.revision)})
										 : table_row({escape_html(it.url), "no answer: " + escape_html(it.error)});
			}
			page += "</table>\n<h2>Zones</h2>\n<table>\n<tr><th>zone<th>state</tr>\n";
			for (const auto& it : fleet.zones)
			{
				page += table_row({escape_html(it.name), escape_html(it.state)});
			}
			std::int64_t most_flows = 0;
			std::int64_t most_requests = 0;
			for (const auto& it : fleet.upstreams)
			{
				most_flows = std::max(most_flows, it.flows.value_or(0));
				most_requests = std::max(most_requests, it.in_progress.value_or(0));
			}
			page += "</table>\n<h2>Upstreams</h2>\n<table>\n<tr><th>upstream<th>service<th>zone<th>state<th>flows<th>"
					"<th>in progress<th><th>admitted<th>refused</tr>\n";
			for (const auto& it : fleet.upstreams)
			{
				page += table_row({escape_html(it.name), escape_html(it.service), escape_html(it.zone),
								   escape_html(it.state), format_count(it.flows), svg_bar(it.flows, most_flows),
								   format_count(it.in_progress), svg_bar(it.in_progress, most_requests),
								   format_count(it.admitted), format_count(it.refused)});
			}
			return page + "</table>\n</html>\n";
		}
	}

	int run_report(const parsed_command_line& line)
	{
		const auto urls = daemon_urls(line);
		if (urls.empty())
		{
			fmt::print(stderr, "nutmegturnctl: report requires at least one --daemon URL; see --help\n");
			return exit_usage;
		}
		const auto fleet = read_fleet(urls);
		fmt::print("{}", html_page(fleet));
		const bool answered =
			std::ranges::all_of(fleet.processes, [](const process_row& it) { return it.error.empty(); });
		return answered ? exit_ok : exit_no_answer;
	}
}
