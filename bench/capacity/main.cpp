#include "measurement.hpp"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>

namespace
{
	struct group
	{
		std::string_view name;
		std::vector<capacity::measurement> (*run)();
	};

	constexpr std::array groups{
		group{"balancer", capacity::measure_balancer}, group{"membership", capacity::measure_membership},
		group{"relay", capacity::measure_relay},       group{"agent", capacity::measure_agent},
		group{"events", capacity::measure_events},     group{"requests", capacity::measure_requests}};

	QJsonObject to_json(std::string_view group, const capacity::measurement& it)
	{
		QJsonArray points;
		for (const auto& point : it.points)
		{
			points.append(QJsonObject{{"size", point.size}, {"value", point.value}});
		}
		const auto linear_fit = capacity::fit_line(it.points);
		return {{"group", QString::fromUtf8(group.data(), static_cast<qsizetype>(group.size()))},
				{"name", QString::fromStdString(it.name)},
				{"size_unit", QString::fromStdString(it.size_unit)},
				{"value_unit", QString::fromStdString(it.value_unit)},
				{"source", QString::fromStdString(it.source)},
				{"points", points},
				{"slope", linear_fit.slope},
				{"intercept", linear_fit.intercept},
				{"r2", linear_fit.r2}};
	}
}

int main(int argc, char** argv)
{
	const std::string_view only = argc > 1 ? argv[1] : "";
	QJsonArray measurements;
	for (const auto& it : groups)
	{
		if (!only.empty() && only != it.name)
		{
			continue;
		}
		const auto start = std::chrono::steady_clock::now();
		for (const auto& result : it.run())
		{
			measurements.append(to_json(it.name, result));
		}
		const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
		fmt::print(stderr, "{}: {:.1f} s\n", it.name, took.count());
	}
	if (measurements.isEmpty())
	{
		fmt::print(stderr, "usage: capacity [balancer|membership|relay|agent|events|requests]\n");
		return 2;
	}
	fmt::print("{}", QJsonDocument{QJsonObject{{"measurements", measurements}}}.toJson().toStdString());
	return 0;
}
