#include "cases.hpp"

int main(int argc, char** argv)
{
	const std::map<std::string, void (*)(review::world&)> cases{
		{"lost-answer", review::lost_answer},   {"odd-entry", review::odd_entry}, {"clock-jump", review::clock_jump},
		{"late-opening", review::late_opening}, {"fraction", review::fraction},
	};
	if (argc != 3 || !cases.contains(argv[1]))
	{
		std::cerr << "usage: review-standins CASE RECORD\n";
		return 2;
	}
	try
	{
		review::world deployment{argv[2]};
		cases.at(argv[1])(deployment);
		deployment.events.run();
		if (!deployment.valid())
		{
			return 2;
		}
		return deployment.breaks() > 0 ? 1 : 0;
	}
	catch (const std::exception& error)
	{
		std::cerr << error.what() << "\n";
		return 2;
	}
}
