#pragma once

#include "deployment.hpp"

namespace review
{
	void lost_answer(world& w);
	void odd_entry(world& w);
	void clock_jump(world& w);
	void late_opening(world& w);
	void fraction(world& w);
}
