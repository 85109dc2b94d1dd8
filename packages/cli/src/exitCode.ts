/** Exit codes. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2
}
