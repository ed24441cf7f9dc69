#include "nutmegturn/steering/traffic_class.hpp"

#include <fmt/format.h>

namespace nutmegturn::steering
{
	std::string to_string(const traffic_class& traffic)
	{
		return fmt::format("{}/{}", traffic.priority, to_string(traffic.kind));
	}
}
