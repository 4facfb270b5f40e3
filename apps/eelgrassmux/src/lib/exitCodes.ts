/** Exit codes of the command line besides 0. */

/** A refusal or failure. */
export const EXIT_FAILED = 1

/** Wrong use. */
export const EXIT_USAGE = 2
