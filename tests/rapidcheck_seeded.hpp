#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>

namespace nutmegturn
{
	/// Checks a property with a fixed seed, so that the result is reproducible. A counterexample is printed and fails
	/// the test.
	/// \param seed	Seed of the generated cases.
	/// \param cases	Number of generated cases.
	/// \param property	Callable that RapidCheck checks.
	template <typename Testable>
	void expect_property(std::uint64_t seed, int cases, Testable&& property)
	{
		rc::detail::TestParams params;
		params.seed = seed;
		params.maxSuccess = cases;
		const auto outcome =
			rc::detail::checkTestable(std::forward<Testable>(property), rc::detail::TestMetadata{}, params);
		std::ostringstream text;
		rc::detail::printResultMessage(outcome, text);
		EXPECT_TRUE(outcome.template is<rc::detail::SuccessResult>()) << text.str();
	}
}
