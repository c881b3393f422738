/** Runs one plain service stand-in. */
import {DEFAULT_SERVICE_OPTIONS} from './service/service_core.js';
import {startServiceStandIn} from './service/service_server.js';
import {parseFlags, runProgram} from './shared/program.js';

await runProgram(() =>
  startServiceStandIn(parseFlags(DEFAULT_SERVICE_OPTIONS)),
);
