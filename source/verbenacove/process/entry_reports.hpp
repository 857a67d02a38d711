#ifndef VERBENACOVE_PROCESS_ENTRY_REPORTS_HPP
#define VERBENACOVE_PROCESS_ENTRY_REPORTS_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/process/upstream_directory.hpp"

#include <QCborArray>
#include <QCborMap>

#include <map>
#include <vector>

namespace verbenacove
{

/** What entries said of themselves when they asked for the configuration; for
    operators only, since it is not part of the replicated state. */
class entry_reports
{
public:
    /** The most entries that are remembered. */
    static constexpr std::size_t maximum_entries = 20000;

    /** How long an entry is shown without news. */
    static constexpr milliseconds forget_after{30000};

    /** The clock must outlive the reports. */
    explicit entry_reports(clock_source const& clock);

    /** Takes in a report: `{entry, incarnation, config_version, address, zone,
        serving, ups}`, of which the last four may be missing. */
    void take(QCborMap const& report);

    /** Drops entries without news for long. */
    void forget_old();

    /** Returns the reports that came since the last call, in parts that fit a
        message each; for the leader. */
    std::vector<QCborArray> fresh_parts();

    /** Returns a map for each entry and each upstream, by name. */
    QCborArray entries() const;
    QCborArray upstreams() const;

private:
    struct entry_report
    {
        QCborMap latest;
        monotonic_time heard{};
        bool is_fresh = false;
    };

    clock_source const& clock_;
    std::map<QString, entry_report> entries_;
    upstream_directory upstreams_;
};

} // namespace verbenacove

#endif
