#pragma once

#include "loop.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <fstream>

/// Processes of the system under review, started with the commands of the deploy file.
namespace review
{
	class process
	{
	public:
		/// \param command	Words of the command, split at spaces.
		void start(const std::string& command, const std::string& settings, const std::string& output)
		{
			std::vector<std::string> words;
			for (std::size_t at = 0; at <= command.size();)
			{
				const auto end = std::min(command.find(' ', at), command.size());
				words.push_back(command.substr(at, end - at));
				at = end + 1;
			}
			std::vector<char*> arguments;
			for (auto& it : words)
			{
				arguments.push_back(it.data());
			}
			arguments.push_back(nullptr);
			std::string variable = "NUTMEGTURN_CONFIG=" + settings;
			std::string path = "PATH=/usr/bin:/bin";
			char* environment[] = {variable.data(), path.data(), nullptr};
			const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
			pid_ = ::fork();
			if (pid_ == 0)
			{
				::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the run.
				::dup2(out, 1);
				::dup2(out, 2);
				::execve(arguments[0], arguments.data(), environment);
				::_exit(127);
			}
			::close(out);
		}

		void signal(int number) const
		{
			if (pid_ > 0)
			{
				::kill(pid_, number);
			}
		}

		/// Returns whether the process has ended, and its exit status.
		[[nodiscard]] bool ended(int& status)
		{
			if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
			{
				return false;
			}
			pid_ = -1;
			return true;
		}

		[[nodiscard]] bool running() const
		{
			return pid_ > 0;
		}

		void kill_and_wait()
		{
			if (pid_ > 0)
			{
				::kill(pid_, SIGKILL);
				int status = 0;
				::waitpid(pid_, &status, 0);
				pid_ = -1;
			}
		}

	private:
		pid_t pid_ = -1;
	};
}
