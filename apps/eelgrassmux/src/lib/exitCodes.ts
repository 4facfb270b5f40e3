/** Exit codes of the command line other than 0. */

/** The command was refused or failed. */
export const EXIT_FAILED = 1

/** The arguments are invalid. */
export const EXIT_USAGE = 2
