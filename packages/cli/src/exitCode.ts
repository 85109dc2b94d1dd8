/** Exit codes of the executable. `Usage` means invalid arguments or settings. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2
}
