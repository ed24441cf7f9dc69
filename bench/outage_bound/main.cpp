#include "outage_bound/outage_bound.hpp"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

/// Prints the upper bound of the benefit in each window of two seconds after a power loss.
/// Usage: outage-bound FILE. The first line of the file holds `at down start cold_factor`, each further one `name
/// per_second service_time target time_limit benefit late_benefit open_share flows idempotent` (0 or 1); times are in
/// seconds.
int main(int argc, char** argv)
{
	std::ifstream file;
	if (argc == 2)
	{
		file.open(argv[1]);
	}
	nutmegturn::bench::power_loss loss;
	if (!(file >> loss.at >> loss.down >> loss.start >> loss.cold_factor))
	{
		fmt::print(stderr, "usage: outage-bound FILE; its first line holds four numbers\n");
		return 2;
	}
	std::vector<nutmegturn::bench::request_class> classes;
	nutmegturn::bench::request_class it;
	while (file >> it.name >> it.per_second >> it.service_time >> it.target >> it.time_limit >> it.benefit >>
		   it.late_benefit >> it.open_share >> it.flows >> it.idempotent)
	{
		classes.push_back(it);
	}
	if (!file.eof() || classes.empty())
	{
		fmt::print(stderr, "outage-bound: {}: a line of a kind of request does not hold ten fields\n", argv[1]);
		return 2;
	}
	for (const auto& bound : bound_of_power_loss(loss, classes, 2.0, loss.at + 8.0))
	{
		fmt::print("{:6.1f} s  at most {:.3f}\n", bound.from, bound.benefit / bound.all_in_time);
	}
	return 0;
}
