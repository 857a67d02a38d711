#ifndef VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_BOARD_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_BOARD_HPP

#include "verbenacove/process/discovery/presence_content.hpp"

#include <QCborMap>

#include <functional>
#include <vector>

namespace verbenacove
{

/** Who judges that an upstream or entry is silent. */
enum class silence_judge
{
    /** This board, by the heartbeats that it hears of. */
    self,
    /** The board that this one reads. */
    source
};

/** How far a reader has read another board. */
struct board_position
{
    /** Made anew with each board; a position holds for one of them only. */
    qint64 stream = 0;
    qint64 upstreams = 0;
    qint64 entries = 0;
    qint64 replicas = 0;
    qint64 upstream_beats = 0;
    qint64 entry_beats = 0;
    qint64 replica_beats = 0;
};

/** Returns a position as CBOR, and reads it back. */
QCborMap to_cbor(board_position const& position);
board_position parse_board_position(QCborMap const& map);

/** The upstreams, entries and replicas that a process knows of, and the news
    that it has for others.

    @see discovery_service, replica_link
*/
class discovery_board
{
public:
    /** What is called when something changed, with a record of it. */
    struct listener
    {
        std::function<void(upstream_presence const&)> upstream;
        std::function<void(entry_presence const&)> entry;
        std::function<void(replica_presence const&)> replica;
    };

    /** Creates an empty board.

        @param stream  differs from every other board's
        @param clock   must outlive the board
    */
    discovery_board(qint64 stream, silence_judge judge,
                    clock_source const& clock, listener calls);

    /** Takes in a heartbeat that a process sent here. */
    presence_change take(upstream_presence news);
    presence_change take(entry_presence news);
    presence_change take(replica_presence news);

    /** Takes in an upstream's record that another replica vouches for. */
    presence_change take_relayed(upstream_presence news);

    /** Marks an upstream as gone that says so without a heartbeat. */
    presence_change end_upstream(upstream_id const& id);

    /** Returns what a reader has not read, and its next position; nothing
        when there is no change.

        @param with_beats  also tell which processes were heard here
    */
    QCborMap news_since(board_position const& position, bool with_beats) const;

    /** Returns whether a reader at this position has changes to read. */
    bool has_news(board_position const& position) const;

    /** Takes in news of another board and returns the next position. */
    board_position merge(QCborMap const& news);

    /** Judges who is silent; call it a few times a second. */
    void expire();

    presence_table<upstream_content> const& upstreams() const
    {
        return upstreams_;
    }
    presence_table<entry_content> const& entries() const { return entries_; }
    presence_table<replica_content> const& replicas() const
    {
        return replicas_;
    }

private:
    presence_change take_upstream(upstream_presence news,
                                  presence_origin origin);
    bool retire_address(upstream_presence const& news);
    void merge_beats(QCborMap const& news);

    qint64 stream_;
    silence_judge judge_;
    clock_source const& clock_;
    listener calls_;
    /** The stream that was read last, and since when. */
    qint64 source_ = 0;
    monotonic_time source_since_;
    presence_table<upstream_content> upstreams_;
    presence_table<entry_content> entries_;
    presence_table<replica_content> replicas_;
};

} // namespace verbenacove

#endif
