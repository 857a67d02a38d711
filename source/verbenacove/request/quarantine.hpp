#ifndef VERBENACOVE_REQUEST_QUARANTINE_HPP
#define VERBENACOVE_REQUEST_QUARANTINE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/request/fingerprint.hpp"

#include <QCborMap>
#include <QHash>

#include <boost/leaf/result.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace verbenacove
{

/** Tells one attempt of this process from all its others. */
using attempt_number = strong_type<struct attempt_number_tag, qint64>;

/** A position in the news of one process, from 0. */
using news_position = strong_type<struct news_position_tag, qint64>;

/** One upstream process that died with a request in hand. */
struct crash_record
{
    upstream_id upstream;
    incarnation upstream_incarnation;
    /** The time since the crash; never a time of day. */
    milliseconds age{0};
    /** True when the request was answered elsewhere since. */
    bool is_cleared = false;
    /** True when the request ran there as a suspect, on its own. */
    bool is_trial = false;
};

/** What one process knows of the crashes around one request. */
struct crash_news
{
    request_fingerprint fingerprint;
    std::vector<crash_record> crashes;
};

/** News for other processes, and where the next ones go on. */
struct quarantine_news
{
    news_position next;
    std::vector<crash_news> records;
};

/** Says what is wrong in news. */
struct quarantine_format_error
{
    QString reason;
};

/** Returns news as a CBOR map. */
QCborMap to_cbor(quarantine_news const& news);

/** Reads news; a wrong field is a quarantine_format_error. */
boost::leaf::result<quarantine_news> parse_quarantine_news(QCborMap const& map);

/** How a request may be sent. */
enum class send_permission
{
    /** To any upstream. */
    unrestricted,
    /** To an upstream where this process has nothing else running. */
    alone,
    /** Not until it is known whether an upstream that closed its connections
        died; ask again after a moment. */
    undecided,
    /** To none: it has crashed too many upstreams. */
    refused
};

/** Keeps a request that crashes upstreams from crashing more of them.

    A request that was in flight on an upstream whose process died is a
    suspect: it is sent again only alone. When it is answered it is cleared;
    when it crashes a second upstream it is refused. Only a process that is
    gone counts as a crash, and a lost connection alone does not. A suspect's
    further copies that die beside another suspect's trial do not count.

    Processes share what they know by `export_news` and `merge_news`, which
    can come in any order, late and doubled. All state has a bound and is
    forgotten after a while. Use it on one thread.
*/
class quarantine
{
public:
    /** The crashes after which a request is refused. */
    static constexpr int crash_limit = 2;

    /** How long a crash is remembered. */
    static constexpr milliseconds memory = std::chrono::minutes(10);

    /** The age from which news of a crash is not taken in any more, so that
        processes do not remind each other for good. */
    static constexpr milliseconds oldest_news = std::chrono::minutes(9);

    /** How long a lost connection may turn out to be a crash. */
    static constexpr milliseconds confirmation = std::chrono::seconds(5);

    /** The most requests remembered. */
    static constexpr qsizetype maximum_requests = 10'000;

    /** The most crashes remembered of one request. */
    static constexpr std::size_t maximum_crashes = 16;

    /** The most attempts in flight. */
    static constexpr qsizetype maximum_attempts = 100'000;

    /** The most lost connections and gone upstreams that are remembered. */
    static constexpr qsizetype maximum_losses = 10'000;

    /** The most records in one export. */
    static constexpr std::size_t maximum_news = 1'000;

    /** Creates an empty quarantine; the clock must outlive it. */
    explicit quarantine(clock_source const& clock);

    quarantine(quarantine const&) = delete;
    quarantine& operator=(quarantine const&) = delete;

    /** Returns how a request may be sent now. */
    send_permission permission(request_fingerprint const& request) const;

    /** Returns true when a request may be sent to this upstream now: a
        suspect has it to itself, and nothing joins a suspect there.

        @see start
    */
    bool can_start(request_fingerprint const& request,
                   upstream_id const& upstream) const;

    /** Notes that an attempt starts, before its first byte is sent.

        A suspect needs the control leader's permission as well, which is not
        looked at here; see quarantine_trials.

        @return its number, for exactly one of `answered`, `ended` and `lost`;
                nothing when it may not start
    */
    std::optional<attempt_number> start(request_fingerprint const& request,
                                        upstream_id const& upstream,
                                        incarnation upstream_incarnation);

    /** Notes that an attempt starts, whatever its permission: for an entry
        that holds no suspect back, only what is refused.

        @return as of `start`; nothing only when too many are in flight
    */
    std::optional<attempt_number> track(request_fingerprint const& request,
                                        upstream_id const& upstream,
                                        incarnation upstream_incarnation);

    /** Notes the whole answer to an attempt, which clears the request. */
    void answered(attempt_number attempt);

    /** Notes that an attempt ended and says nothing: cancelled or late. */
    void ended(attempt_number attempt);

    /** Notes that the upstream closed or reset the attempt's connection.

        Find out next whether its process is gone.

        @see upstream_gone, upstream_alive
    */
    void lost(attempt_number attempt);

    /** Notes that an upstream's process is gone: a connection is refused
        right after one was lost, or a newer incarnation is seen. */
    void upstream_gone(upstream_id const& upstream, incarnation last_gone);

    /** Notes that an upstream's process answered after a loss: no crash. */
    void upstream_alive(upstream_id const& upstream, incarnation alive);

    /** Returns true while it is not known whether an upstream's process that
        closed a connection is gone; at most for `confirmation`. */
    bool is_undecided(upstream_id const& upstream,
                      incarnation upstream_incarnation) const;

    /** Returns what has changed since a position, oldest first.

        A position holds for one process's life: begin at 0 when the other
        side has restarted.
    */
    quarantine_news export_news(news_position since) const;

    /** Returns true when `export_news` would have some. */
    bool has_news(news_position since) const { return since < last_news_; }

    /** Takes in another process's news. */
    void merge_news(quarantine_news const& news);

    /** Returns how many requests are remembered. */
    qsizetype request_count() const { return records_.size(); }

private:
    struct crash
    {
        upstream_id upstream;
        incarnation upstream_incarnation;
        monotonic_time when;
        bool is_cleared = false;
        bool is_trial = false;
    };

    struct record
    {
        std::vector<crash> crashes;
        news_position changed;
    };

    struct attempt
    {
        request_fingerprint request;
        upstream_id upstream;
        incarnation upstream_incarnation;
        bool is_alone = false;
    };

    struct loss
    {
        attempt of;
        monotonic_time when;
    };

    struct gone_upstream
    {
        incarnation last_gone;
        monotonic_time when;
    };

    /** One upstream's process, which can crash once. */
    struct upstream_process
    {
        upstream_id upstream;
        incarnation upstream_incarnation;

        friend bool operator==(upstream_process const&,
                               upstream_process const&) = default;
        friend size_t qHash(upstream_process const& key, size_t seed = 0)
        {
            return qHashMulti(seed, key.upstream.value(),
                              key.upstream_incarnation.value());
        }
    };

    struct trial_crash
    {
        request_fingerprint request;
        monotonic_time when;
    };

    attempt_number note(request_fingerprint const& request,
                        upstream_id const& upstream,
                        incarnation upstream_incarnation, bool is_alone);
    std::vector<crash> open_crashes(request_fingerprint const& request) const;
    int crash_count(request_fingerprint const& request,
                    std::vector<crash> const& open) const;
    bool has_other_trial(request_fingerprint const& request,
                         crash const& at) const;
    void note_trial(request_fingerprint const& request, crash const& at);
    int loss_count(request_fingerprint const& request) const;
    bool is_known_gone(attempt const& of) const;
    void add_crash(request_fingerprint const& request, crash const& added);
    void add_own_crash(attempt const& of);
    void touch(record& changed);
    void expire();
    void make_room();
    std::optional<attempt> take(attempt_number number);

    clock_source const& clock_;
    QHash<request_fingerprint, record> records_;
    QHash<attempt_number, attempt> attempts_;
    QHash<upstream_id, QHash<attempt_number, bool>> attempts_of_upstream_;
    std::deque<loss> losses_;
    QHash<upstream_id, gone_upstream> gone_;
    QHash<upstream_process, trial_crash> trial_crashes_;
    attempt_number last_attempt_;
    news_position last_news_;
};

} // namespace verbenacove

#endif
