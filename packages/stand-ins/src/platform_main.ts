/** Runs the log service, host list and weight store on one port. */
import {DEFAULT_PLATFORM_OPTIONS} from './platform/platform_core.js';
import {startPlatformStandIn} from './platform/platform_server.js';
import {parseFlags, runProgram} from './shared/program.js';

await runProgram(() =>
  startPlatformStandIn(parseFlags(DEFAULT_PLATFORM_OPTIONS)),
);
