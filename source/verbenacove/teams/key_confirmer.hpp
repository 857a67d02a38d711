#ifndef VERBENACOVE_TEAMS_KEY_CONFIRMER_HPP
#define VERBENACOVE_TEAMS_KEY_CONFIRMER_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/teams/key_confirmation.hpp"

#include <QString>

#include <optional>

namespace verbenacove
{

/** Decides when a replica asks for a confirmation of the keys, and remembers
    the latest one.

    A leader asks a majority of the voters, the others ask the leader. Nothing
    is asked, and nothing is known, while no keys are used.

    @see key_confirmation_service
*/
class key_confirmer
{
public:
    /** A question that has been asked. */
    struct question
    {
        qint64 number = 0;
        /** The time before it was sent. */
        boot_time asked;
    };

    /** Minimum time from a question to the next one. */
    static constexpr milliseconds interval{300};

    /** Time after which a question counts as lost. An answer that comes later
        is still used. */
    static constexpr milliseconds patience{1000};

    /** Returns the question that is to be asked now, if any.

        @param uses_keys   whether requests may need keys
                           (verbenacove::uses_keys)
        @param respondent  whom it would be asked; empty for nobody. One that is
                           under way is given up when this changes.
    */
    std::optional<question> start_due(bool uses_keys, QString const& respondent,
                                      boot_time now);

    /** Records the answer to a question.

        @param answer  nothing if it was not answered, or not confirmed
    */
    void finish(question const& asked,
                std::optional<key_confirmation> const& answer);

    /** Returns the latest confirmation; nothing without any. */
    std::optional<key_confirmation> const& latest() const { return latest_; }

private:
    bool uses_keys_ = false;
    qint64 last_number_ = 0;
    QString respondent_;
    std::optional<question> open_;
    std::optional<boot_time> last_asked_;
    std::optional<key_confirmation> latest_;
};

} // namespace verbenacove

#endif
