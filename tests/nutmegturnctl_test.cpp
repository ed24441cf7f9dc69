#include "base64_text.hpp"
#include "runtime/http.hpp"

#include <QCoreApplication>
#include <QFile>
#include <QHttpServer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>

namespace nutmegturn
{
	namespace
	{
		const QString examples = QStringLiteral(NUTMEGTURN_SOURCE_DIR "/examples/");

		/// Exit status and output of a finished command.
		struct command_result
		{
			int status = -1;
			QJsonObject json;
			QString text;
		};

		class nutmegturnctl : public testing::Test
		{
		protected:
			command_result run(const QStringList& arguments)
			{
				QProcess process;
				QEventLoop loop;
				QObject::connect(&process, &QProcess::finished, &loop, &QEventLoop::quit);
				process.start(QStringLiteral(NUTMEGTURN_BINARY_DIR "/nutmegturnctl"), arguments);
				loop.exec();
				command_result result;
				result.status = process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
				const auto bytes = process.readAllStandardOutput();
				result.json = QJsonDocument::fromJson(bytes).object();
				result.text = QString::fromUtf8(bytes + process.readAllStandardError());
				return result;
			}

			QString write_file(const QString& name, const QByteArray& text)
			{
				QFile file{folder_.filePath(name)};
				EXPECT_TRUE(file.open(QIODevice::WriteOnly));
				file.write(text);
				return file.fileName();
			}

		private:
			int argc_ = 0;
			QCoreApplication application_{argc_, nullptr};
			QTemporaryDir folder_;
		};
	}

	// Guards against a check that accepts faulty files or rejects valid ones.
	TEST_F(nutmegturnctl, accepts_valid_files_and_refuses_faulty_ones)
	{
		EXPECT_EQ(run({"check", "--json", examples + "lju"}).json["upstreams"].toInt(), 10);
		const auto accepted = run({"check", examples + "cz-stred"});
		EXPECT_EQ(accepted.status, 0);
		EXPECT_TRUE(accepted.text.contains(
			"/cz-stred/map-archive: class 4/download, latency target 2000 ms, timeout 10000 ms\n"))
			<< accepted.text.toStdString();
		EXPECT_EQ(
			run({"check", "--json", examples + "lju"}).json["classes"].toObject()["/lju/poti"].toObject()["priority"],
			1);
		const auto typo =
			write_file("zone-x.json", R"({"schema":3,"kind":"availability_zone","name":"/lju/x","stat":"in"})");
		const auto refused = run({"check", typo});
		EXPECT_EQ(refused.status, 3);
		EXPECT_TRUE(refused.text.contains("zone-x: stat: got \"in\"")) << refused.text.toStdString();
		EXPECT_EQ(run({"check", "--json", examples + "lju/settings", examples + "cz-stred/records"}).status, 3);
		EXPECT_EQ(run({"check"}).status, 2);
		EXPECT_EQ(run({"--unknown"}).status, 2);
	}

	// Guards against a plan that hides ended flows, and against one that reports flows of unaffected services.
	TEST_F(nutmegturnctl, reports_flows_that_end_when_a_zone_leaves_rotation)
	{
		const auto zone = write_file("zone-lju-b.json",
									 R"({"schema":2,"kind":"availability_zone","name":"/lju/lju-b","state":"out"})");
		const auto plan = run({"plan", "--json", "--partial", "--samples", "10000", examples + "lju/records", zone});
		EXPECT_EQ(plan.status, 4);
		ASSERT_EQ(plan.json["changes"].toArray().size(), 1);
		EXPECT_EQ(plan.json["changes"].toArray()[0].toObject()["after"], "out");
		for (const auto& it : plan.json["flows"].toArray())
		{
			// lju-b has 2 of the 7 upstreams of zaloga and 1 of the 3 of poti, all with equal weight.
			const auto flows = it.toObject();
			const double expected = flows["service"] == "/lju/zaloga" ? 2.0 / 7 : 1.0 / 3;
			EXPECT_NEAR(flows["given_up"].toDouble() / 10'000, expected, 0.05);
			EXPECT_EQ(flows["moved"].toInt(), 0);
		}
		EXPECT_EQ(run({"plan", examples + "lju/records", examples + "lju/records"}).text.section('\n', -2, -2),
				  "no change");
	}

	// Guards against a plan in which draining an upstream ends its flows, and against an endpoint conflict that is
	// detected only after publication.
	TEST_F(nutmegturnctl, keeps_flows_of_a_drained_upstream_and_refuses_a_conflict)
	{
		const QByteArray fields =
			R"("kind":"upstream","name":"/lju/lju-b/poti/2","service":"/lju/poti","zone":"/lju/lju-b",)"
			R"("agent":"127.21.2.22:7300","slots":2,)";
		const auto drained = write_file("upstream-poti-2.json", R"({"schema":3,"state":"draining",)" + fields +
																	R"("endpoint":"127.21.2.22:5685"})");
		const auto plan = run({"plan", "--json", "--partial", examples + "lju/records", drained});
		EXPECT_EQ(plan.status, 0) << plan.text.toStdString();
		EXPECT_GT(plan.json["flows"].toArray()[0].toObject()["moved"].toInt() +
					  plan.json["flows"].toArray()[1].toObject()["moved"].toInt(),
				  20'000);
		const auto conflicting =
			write_file("upstream-poti-2.json", R"({"schema":3,)" + fields + R"("endpoint":"127.21.1.11:5683"})");
		EXPECT_EQ(run({"plan", "--partial", examples + "lju/records", conflicting}).status, 3);
	}

	// Guards against an explanation without the service, the revision or the candidate chain that lead to the upstream,
	// and against success for a service that does not exist.
	TEST_F(nutmegturnctl, explains_the_upstream_of_a_flow)
	{
		const auto found = run({"explain", "--json", examples + "lju/records", "10.1.2.3:4000", "127.21.0.100:5683"});
		EXPECT_EQ(found.status, 0);
		EXPECT_EQ(found.json["service"], "/lju/zaloga");
		EXPECT_EQ(found.json["chain"].toArray()[0].toObject()["upstream"], found.json["upstream"]);
		EXPECT_EQ(found.json["revision"].toInt(), 1);
		EXPECT_EQ(run({"explain", examples + "lju/records", "10.1.2.3:4000", "127.21.0.100:1"}).status, 5);
	}

	// Guards against a daemon that does not serve the request being shown as one with nothing to report.
	TEST_F(nutmegturnctl, prints_the_response_of_a_daemon_and_reports_a_missing_one)
	{
		QHttpServer server;
		server.route("/audit",
					 [] {
						 return QJsonObject{{"entries", QJsonArray{QJsonObject{{"subject", "/lju/lju-b"}}}}};
					 });
		const auto port = server.listen(QHostAddress::LocalHost);
		ASSERT_NE(port, 0);
		const auto daemon = QStringLiteral("127.0.0.1:%1").arg(port);
		const auto audit = run({"audit", daemon});
		EXPECT_EQ(audit.status, 0) << audit.text.toStdString();
		EXPECT_EQ(audit.text, "entries:\nsubject=/lju/lju-b\n");
		EXPECT_EQ(run({"status", daemon}).status, 6);
	}

	// Guards against an operator who cannot find where the route of a caller leads among 2,000 routes of a running
	// process.
	TEST_F(nutmegturnctl, shows_where_routes_of_a_running_process_lead)
	{
		std::string routes;
		for (int i = 0; i < 2'000; ++i)
		{
			routes += fmt::format(R"({}{{"host":"198.18.{}.{}","prefix":"/443/","service":"desk"}})", i == 0 ? "" : ",",
								  i / 250, i % 250 + 1);
		}
		routes += R"(,{"host":"198.19.0.1","prefix":"/8443/","traffic_split":[{"service":"desk","weight":3},)"
				  R"({"service":"maps","weight":1}]})";
		routes += R"(,{"host":"198.19.0.3","prefix":"/80/","service":"desk","type":"idempotent","aim_ms":150,)"
				  R"("timeout_ms":2000,"priority":1},{"host":"198.19.0.4","prefix":"/80/","priority":"high"})";
		const auto config = base64(fmt::format(R"({{"version":7,"routes":[{}]}})", routes));
		const auto entry = [](const char* zone, const char* state, int host)
		{
			return base64(fmt::format(R"({{"service":"desk","address":"10.1.0.{}:8080","zone":"{}","state":"{}",)"
									  R"("version":"v1","max_concurrency":2,"cold_remaining_ms":0,"sequence":1}})",
									  host, zone, state));
		};
		const auto item = [](const char* key, int revision, const std::string& value)
		{ return fmt::format(R"({{"key":"{}","revision":{},"value":"{}"}})", key, revision, value); };
		const auto orders = fmt::format(R"({{"items":[{}],"as_of":9}})", item("op/config", 9, config));
		const auto upstreams =
			fmt::format(R"({{"items":[{},{},{}],"as_of":9}})", item("servers/1", 1, entry("a", "ready", 1)),
						item("servers/2", 2, entry("a", "draining", 2)), item("servers/3", 3, entry("b", "ready", 3)));
		QHttpServer balancer;
		balancer.route("/orders", [&orders] { return QString::fromStdString(orders); });
		QHttpServer agent;
		agent.route("/orders", [&orders] { return QString::fromStdString(orders); });
		balancer.route("/upstreams", [&upstreams] { return QString::fromStdString(upstreams); });
		const auto at = [](QHttpServer& server)
		{ return QStringLiteral("127.0.0.1:%1").arg(server.listen(QHostAddress::LocalHost)); };
		const auto process = at(balancer);

		const auto one = run({"routes", process, "198.19.0.1:8443"});
		EXPECT_EQ(one.status, 0) << one.text.toStdString();
		const QString heading =
			"configuration version 7\n1 routes with an invalid class have the default class; the first "
			"one is route 198.19.0.4:80: priority: got \"high\", expected an integer from 0 to 255\n";
		EXPECT_EQ(one.text, heading + "198.19.0.1:8443         75.0 % desk a:1 b:1; class 255/non_idempotent\n"
									  "198.19.0.1:8443         25.0 % maps no upstreams; class 255/non_idempotent\n");
		EXPECT_EQ(run({"routes", process}).text.count('\n'), 2'006);
		const auto json = run({"routes", process, "--json"}).json;
		EXPECT_EQ(json["routes"].toArray().size(), 2'003);
		EXPECT_EQ(json["routes_with_default_class"].toInt(), 1);
		const auto traffic = json["routes"].toArray()[2'001].toObject()["class"].toObject();
		EXPECT_EQ(
			traffic,
			(QJsonObject{{"priority", 1}, {"kind", "idempotent"}, {"latency_target_ms", 150}, {"timeout_ms", 2000}}));
		EXPECT_EQ(run({"routes", process, "198.19.0.3:80"}).text,
				  heading + "198.19.0.3:80          100.0 % desk a:1 b:1; class 1/idempotent, latency target 150 ms, "
							"timeout 2000 ms\n");
		EXPECT_EQ(run({"routes", process, "198.19.0.2:8443"}).status, 5);
		EXPECT_EQ(run({"routes", process, "198.19.0.2"}).status, 2);
		const auto by_agent = run({"routes", at(agent), "198.18.0.1:443"});
		EXPECT_EQ(by_agent.text, heading + "198.18.0.1:443         100.0 % desk; class 255/non_idempotent\n");
	}

	// Guards against a fleet table that omits a daemon that does not answer, shows an unreported count as 0 or hides
	// that daemons disagree about a zone, and against a report page that does not escape markup in names.
	TEST_F(nutmegturnctl, shows_processes_zones_and_upstreams_of_all_daemons)
	{
		const auto status = [](const char* name, const char* zone_state, const QJsonObject& upstreams)
		{
			return QJsonObject{{"name", name},          {"role", "agent"},
							   {"zone", "/lju/lju-b"},  {"state", "running"},
							   {"revision", 12},        {"zones", QJsonObject{{"/lju/lju-b", zone_state}}},
							   {"upstreams", upstreams}};
		};
		const QJsonObject upstream{{"state", "serving"}, {"flows", 17}, {"requests_in_progress", 2}};
		QHttpServer first;
		first.route("/status", [&] { return status("agent-1", "in", {{"/lju/lju-b/poti/2", upstream}}); });
		QHttpServer second;
		second.route("/status", [&] { return status("<script>", "out", {}); });
		const auto url = [](QHttpServer& server)
		{ return QStringLiteral("http://127.0.0.1:%1/").arg(server.listen(QHostAddress::LocalHost)); };
		const auto first_url = url(first);
		const auto second_url = url(second);
		const auto top = run({"top", "--json", "--daemon", first_url, "--daemon", second_url});
		EXPECT_EQ(top.status, 0) << top.text.toStdString();
		EXPECT_EQ(top.json["processes"].toArray().size(), 2);
		EXPECT_EQ(top.json["zones"].toArray()[0].toObject()["state"], "differs");
		const auto row = top.json["upstreams"].toArray()[0].toObject();
		EXPECT_EQ(row["service"], "/lju/poti");
		EXPECT_EQ(row["flows"].toInt(), 17);
		EXPECT_TRUE(row["admitted"].isNull());
		const auto page = run({"report", "--daemon", first_url, "--daemon", second_url});
		EXPECT_TRUE(page.text.contains("<svg") && page.text.contains("&lt;script&gt;")) << page.text.toStdString();
		EXPECT_FALSE(page.text.contains("<script>"));
		const auto with_unreachable = run({"top", "--once", "--daemon", first_url, "--daemon", "http://127.0.0.1:1"});
		EXPECT_EQ(with_unreachable.status, 6);
		EXPECT_TRUE(with_unreachable.text.contains("http://127.0.0.1:1") && with_unreachable.text.contains("no answer"))
			<< with_unreachable.text.toStdString();
		EXPECT_EQ(run({"top"}).status, 2);
	}
}
