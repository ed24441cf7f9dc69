#pragma once

#include "scenario/script.hpp"
#include "scenario/world.hpp"

#include <QJSEngine>
#include <QJSValue>
#include <QObject>
#include <QString>
#include <QStringList>
#include <QVariantMap>

#include <set>
#include <string>

namespace nutmegturn::scenario
{
	/// Functions that scenario files call. Each invokable method is a global function of the script; they are described
	/// in docs/scenarios.md.
	class script_host : public QObject
	{
		Q_OBJECT

	public:
		script_host(QJSEngine& engine, const run_options& options);

		/// Returns the simulated deployment.
		[[nodiscard]] world& simulated_world() noexcept
		{
			return world_;
		}

		/// Returns the first check that failed; empty if all passed.
		[[nodiscard]] const std::string& failure() const noexcept
		{
			return failure_;
		}

		/// Checks the invariants that must hold at the end of every run, except those that the script allows to fail.
		void check_invariants();

		/// \name Deployment
		/// @{
		Q_INVOKABLE void control_plane();
		Q_INVOKABLE void deploy(const QString& name);
		Q_INVOKABLE void balancers(int n);
		Q_INVOKABLE void publish(const QString& key, const QJSValue& value);
		Q_INVOKABLE double newest_revision() const;
		Q_INVOKABLE QVariantMap record(const QString& key);
		Q_INVOKABLE void view_delays(const QVariantMap& options);
		/// @}

		/// \name Load
		/// @{
		Q_INVOKABLE void flows(const QString& service, const QVariantMap& options);
		Q_INVOKABLE void requests(const QString& service, const QVariantMap& options);
		Q_INVOKABLE void upstream_model(const QVariantMap& options);
		Q_INVOKABLE void oracle(bool on);
		/// @}

		/// \name Time and faults
		/// @{
		Q_INVOKABLE void run(double seconds);
		Q_INVOKABLE void kill(const QString& name);
		Q_INVOKABLE void restart(const QString& name);
		Q_INVOKABLE void stop(const QString& name);
		Q_INVOKABLE void pause(const QString& name, double seconds);
		Q_INVOKABLE void cold(const QString& name);
		Q_INVOKABLE void silence(const QString& name, bool silent);
		Q_INVOKABLE void network(const QVariantMap& faults);
		Q_INVOKABLE void partition(const QStringList& one, const QStringList& other);
		Q_INVOKABLE void heal();
		Q_INVOKABLE void cut_off_from_service(const QStringList& names);
		Q_INVOKABLE void service_down(bool down);
		Q_INVOKABLE void service_stale(bool stale);
		Q_INVOKABLE void service_stale_at(double rev);
		/// @}

		/// \name Observation
		/// @{
		Q_INVOKABLE QStringList processes(const QString& prefix);
		Q_INVOKABLE double now() const;
		Q_INVOKABLE double count(const QString& name);
		Q_INVOKABLE void measure_control();
		Q_INVOKABLE double drops(const QString& reason);
		Q_INVOKABLE double fairness(const QString& of);
		Q_INVOKABLE double capacity(const QString& name);
		Q_INVOKABLE double in_progress(const QString& name);
		Q_INVOKABLE double work_done(const QString& name);
		Q_INVOKABLE double imbalance(const QString& service);
		Q_INVOKABLE void sample(const QString& series, double value);
		Q_INVOKABLE void log(const QString& text);
		/// @}

		/// \name Checks
		/// @{
		Q_INVOKABLE void expect(const QString& name, const QString& op, double bound);
		Q_INVOKABLE void check(const QString& label, double value, const QString& op, double bound);
		Q_INVOKABLE void allow(const QString& name);
		/// @}

		/// \name Parameters
		/// @{
		Q_INVOKABLE double random();
		Q_INVOKABLE int random_below(int n);
		Q_INVOKABLE double param(const QString& name, double otherwise);
		/// @}

	private:
		[[nodiscard]] process* require(const QString& name);
		[[nodiscard]] const service_config* require_service(const QString& name);
		[[nodiscard]] fake_upstream* require_upstream(const QString& name);
		void fail(const QString& message);
		void refresh_counts();

		QJSEngine& engine_;
		const run_options& options_;
		world world_;
		std::string failure_;
		std::set<std::string> allowed_;
	};
}
