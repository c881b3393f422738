/** Runs one model engine stand-in. */
import {DEFAULT_ENGINE_OPTIONS} from './engine/engine_options.js';
import {startEngineStandIn} from './engine/engine_server.js';
import {parseFlags, runProgram} from './shared/program.js';

await runProgram(() => startEngineStandIn(parseFlags(DEFAULT_ENGINE_OPTIONS)));
