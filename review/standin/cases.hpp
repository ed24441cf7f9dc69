#pragma once

#include "deployment.hpp"

namespace review
{
	void lost_answer(world& w);
}
