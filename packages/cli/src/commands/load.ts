/** `egretvalve load` and `egretvalve replay`: the load and experiment tool. */
import * as bench from '@egretvalve/bench'

export const loadCommand = { name: 'load', summary: bench.LOAD_SUMMARY, run: bench.runLoad }

export const replayCommand = { name: 'replay', summary: bench.REPLAY_SUMMARY, run: bench.runReplay }
