#ifndef VERBENACOVE_CORE_VERDICT_HPP
#define VERBENACOVE_CORE_VERDICT_HPP

#include <QByteArray>

namespace verbenacove
{

/** Says whether a request may have run on an upstream.

    Only `not_run` allows a non-idempotent request to be sent again.
*/
enum class run_verdict
{
    /** No upstream ran it, and none will. */
    not_run,
    /** An upstream ran it, and its whole answer is here. */
    ran,
    /** It was sent, and whether it ran is not known. */
    may_have_run
};

/** Returns the word that callers see: `not-run`, `ran` or `may-have-run`. */
QByteArray verdict_word(run_verdict verdict);

} // namespace verbenacove

#endif
