// The platform, runners and nodes of one case, and the end of all that it started.
import {writeFileSync} from 'node:fs';
import {Node, pause} from './nodes.mjs';
import {Store} from './store.mjs';

const REGISTER_EVERY_MS = 400;

/** Addresses of this run alone, as the metrics port of the deploy file is fixed. */
function ipOf(at) {
  const {pid} = process;
  return `127.${1 + ((pid >> 8) % 250)}.${pid & 255}.${at + 2}`;
}

export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export class Scene {
  store = new Store();
  runners = [];
  nodes = [];
  /** Lines of record.txt. */
  record = [];

  constructor(folder) {
    this.folder = folder;
  }

  note(...words) {
    this.record.push(words.join(' '));
  }

  async start({runners, configuration, nodeNames, bounds, startGapMs = 0}) {
    await this.store.listen();
    this.store.put('keyed.op', 'config', configuration);
    for (const runner of runners) {
      await runner.listen();
      this.runners.push(runner);
    }
    this.register();
    this.timer = setInterval(() => this.register(), REGISTER_EVERY_MS);
    for (const [at, name] of nodeNames.entries()) {
      const node = await Node.make({
        ...{name, ip: ipOf(at), bounds},
        storeAddress: this.store.address,
      });
      this.nodes.push(node);
    }
    const seeds = this.nodes.slice(0, 3).map(({seed}) => seed);
    for (const node of this.nodes) {
      node.start(seeds);
      if (startGapMs > 0) await pause(startGapMs);
    }
    for (const node of this.nodes) await node.waitReady();
  }

  register() {
    this.runners.forEach(({id, record}) =>
      this.store.put('keyed.servers', id, record),
    );
  }

  /** Ends everything, writes record.txt and exits: 1 if the rule was broken. */
  async finish(exitCode) {
    clearInterval(this.timer);
    await Promise.all(this.nodes.map(node => node.end()));
    this.runners.forEach(runner => runner.close());
    this.store.close();
    writeFileSync(`${this.folder}/record.txt`, this.record.join('\n') + '\n');
    process.exit(exitCode);
  }
}

/** Runs a case; 2 if it could not run. */
export async function play(folder, run) {
  const scene = new Scene(folder);
  try {
    await scene.finish((await run(scene)) ? 1 : 0);
  } catch (thrown) {
    console.error(thrown);
    await scene.finish(2);
  }
}
