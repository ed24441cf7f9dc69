#include "runtime/command_line.hpp"

#include <fmt/format.h>
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>

namespace nutmegturn::runtime
{
	bool parsed_command_line::has(std::string_view name) const
	{
		return options.find(name) != options.end();
	}

	std::string parsed_command_line::value(std::string_view name, std::string_view default_value) const
	{
		const auto it = options.find(name);
		return it == options.end() ? std::string{default_value} : it->second.back();
	}

	std::vector<std::string> parsed_command_line::values(std::string_view name) const
	{
		const auto it = options.find(name);
		return it == options.end() ? std::vector<std::string>{} : it->second;
	}

	result<parsed_command_line, int>
	parse_command_line(int argc, char** argv, const std::vector<command_option>& options, const std::string& operands)
	{
		std::vector<poptOption> table;
		table.reserve(options.size() + 3);
		for (std::size_t i = 0; i < options.size(); ++i)
		{
			const auto& option = options[i];
			table.push_back({option.name.c_str(), '\0',
							 static_cast<unsigned>(option.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING), nullptr,
							 static_cast<int>(i) + 1, option.description.c_str(),
							 option.argument.empty() ? nullptr : option.argument.c_str()});
		}
		const int version = static_cast<int>(options.size()) + 1;
		table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, version, "Print the version", nullptr});
		table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
		table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});

		const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context{
			poptGetContext(nullptr, argc, const_cast<const char**>(argv), table.data(), 0), &poptFreeContext};
		if (!operands.empty())
		{
			poptSetOtherOptionHelp(context.get(), ("[OPTION...] " + operands).c_str());
		}
		parsed_command_line parsed;
		int code = 0;
		while ((code = poptGetNextOpt(context.get())) > 0)
		{
			if (code == version)
			{
				fmt::print("{}\n", NUTMEGTURN_VERSION);
				return exit_ok;
			}
			const auto& option = options[static_cast<std::size_t>(code) - 1];
			const std::unique_ptr<char, decltype(&std::free)> argument{poptGetOptArg(context.get()), &std::free};
			parsed.options[option.name].emplace_back(argument ? argument.get() : "");
		}
		if (code < -1)
		{
			fmt::print(stderr, "{}: {}\n", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
			return exit_usage;
		}
		while (const char* operand = poptGetArg(context.get()))
		{
			parsed.operands.emplace_back(operand);
		}
		return parsed;
	}
}
