/** Runs the server for callers and its engines in a worker thread. */
import {parentPort, workerData} from 'node:worker_threads';
import {type LoopbackOptions, startLoopback} from './loopback_fixture.js';

const loopback = await startLoopback(workerData as LoopbackOptions);
parentPort?.postMessage({
  nodeUrl: loopback.baseUrl,
  engineUrls: loopback.engines.map(engine => engine.baseUrl),
});
