/** Measures time, CPU and memory of applying and storing the state, by size. */
import {encodeBatch} from '@mimosatack/records';
import {AgreedState} from './agreed_state.js';
import {WorkloadBuilder, type WorkloadSize} from './measure_workload.js';

const BATCH_RECORDS = 20;
const MIB = 1024 * 1024;

const TARGET: WorkloadSize = {
  models: 260,
  adaptersPerModel: 26,
  servers: 670,
  openEvents: 500,
  records: 100_000,
};

const SIZES: {label: string; size: WorkloadSize}[] = [
  {label: 'target', size: TARGET},
  {label: 'half the records', size: {...TARGET, records: 50_000}},
  {label: 'half the servers', size: {...TARGET, servers: 335}},
  {label: 'half the models', size: {...TARGET, models: 130}},
  {label: 'half the adapters', size: {...TARGET, adaptersPerModel: 13}},
  {label: 'half the events', size: {...TARGET, openEvents: 250}},
];

interface Measurement {
  label: string;
  foldMs: number;
  cpuMs: number;
  microsPerRecord: number;
  bytesPerRecord: number;
  checkpointKib: number;
  writeMs: number;
  readMs: number;
  heapMib: number;
}

function measure(label: string, size: WorkloadSize): Measurement {
  const appends = encodeAppends(size);
  const encodedBytes = appends.reduce((sum, data) => sum + data.length, 0);
  const heapBefore = readHeapBytes();
  const cpuBefore = process.cpuUsage();
  const state = new AgreedState();
  const foldMs = measureMs(() =>
    appends.forEach((data, offset) => state.foldAppend(offset, data)),
  );
  const cpu = process.cpuUsage(cpuBefore);
  const heapMib = (readHeapBytes() - heapBefore) / MIB;
  const writeMs = measureMs(() => state.toBytes());
  const bytes = state.toBytes();
  const readMs = measureMs(() => AgreedState.fromBytes(bytes));
  return {
    label,
    foldMs,
    cpuMs: (cpu.user + cpu.system) / 1000,
    microsPerRecord: (foldMs * 1000) / size.records,
    bytesPerRecord: encodedBytes / size.records,
    checkpointKib: bytes.length / 1024,
    writeMs,
    readMs,
    heapMib,
  };
}

function encodeAppends(size: WorkloadSize): Uint8Array[] {
  const records = new WorkloadBuilder(size).build();
  const count = Math.ceil(records.length / BATCH_RECORDS);
  return Array.from({length: count}, (_unused, index) =>
    encodeBatch(
      records.slice(index * BATCH_RECORDS, (index + 1) * BATCH_RECORDS),
    ),
  );
}

function measureMs(action: () => unknown): number {
  const startMs = performance.now();
  action();
  return performance.now() - startMs;
}

/** Includes garbage unless Node runs with `--expose-gc`. */
function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

const rows = SIZES.map(({label, size}) => {
  const measured = measure(label, size);
  return Object.fromEntries(
    Object.entries(measured).map(([key, value]) => [
      key,
      typeof value === 'number' ? Math.round(value * 10) / 10 : value,
    ]),
  );
});
if (process.argv.includes('--json')) {
  process.stdout.write(`${JSON.stringify(rows, null, 2)}\n`);
} else {
  console.table(rows);
}
