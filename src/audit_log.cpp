#include "nutmegturn/audit_log.hpp"

#include "nutmegturn/log.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <array>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		constexpr std::array<std::string_view, 9> kind_names{"record_accepted", "record_rejected", "record_replaced",
															 "zone_taken_out",  "zone_returned",   "upstream_state",
															 "member_state",    "flow_given_up",   "process_state"};
		static_assert(kind_names.size() == static_cast<std::size_t>(audit_kind::process_state) + 1);

		QString to_qstring(std::string_view text)
		{
			return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
		}
	}

	std::string_view to_string(audit_kind kind) noexcept
	{
		const auto i = static_cast<std::size_t>(kind);
		return i < kind_names.size() ? kind_names[i] : std::string_view{"unknown"};
	}

	void audit_log::append(audit_event event, wall_time at)
	{
		// Record keys and values are operator input; without a size limit, the limit on entries would not bound the
		// memory.
		event.subject.resize(std::min(event.subject.size(), max_text_size));
		event.detail.resize(std::min(event.detail.size(), max_text_size));
		if (entries_.size() >= max_entries)
		{
			entries_.pop_front();
			++dropped_;
		}
		entries_.push_back({next_number_++, at, std::move(event)});
	}

	std::string audit_log::to_json(std::uint64_t after, std::size_t limit) const
	{
		QJsonArray list;
		const auto first = entries_.size() - std::min(limit, entries_.size());
		for (std::size_t i = first; i < entries_.size(); ++i)
		{
			const auto& [number, at, event] = entries_[i];
			if (number > after)
			{
				list.append(QJsonObject{{"number", static_cast<qint64>(number)},
										{"time", to_qstring(format_time(at))},
										{"kind", to_qstring(to_string(event.kind))},
										{"subject", to_qstring(event.subject)},
										{"detail", to_qstring(event.detail)},
										{"revision", static_cast<qint64>(event.rev)},
										{"reason", to_qstring(to_string(event.why))}});
			}
		}
		const QJsonObject root{{"dropped", static_cast<qint64>(dropped_)}, {"entries", list}};
		return QJsonDocument{root}.toJson(QJsonDocument::Compact).toStdString();
	}
}
