/** `mimosatack status|replica list|node list|backend-server list`. */
import {Command, type CommandClass} from 'clipanion';
import {BaseCommand} from '../base_command.js';

interface ReadCommand {
  path: string[];
  description: string;
  route: string;
}

const READS: ReadCommand[] = [
  {
    path: ['status'],
    description: 'How far a node has got',
    route: '/admin/v1/status',
  },
  {
    path: ['replica', 'list'],
    description: 'The decided replicas',
    route: '/admin/v1/slots',
  },
  {
    path: ['node', 'list'],
    description: 'The nodes as one of them sees them',
    route: '/admin/v1/nodes',
  },
  {
    path: ['backend-server', 'list'],
    description: 'The backend servers and who sends them orders',
    route: '/admin/v1/backend-servers',
  },
];

/** The commands that only read. */
export function makeStatusCommands(): CommandClass[] {
  return READS.map(makeRead);
}

function makeRead({path, description, route}: ReadCommand): CommandClass {
  return class extends BaseCommand {
    static override paths = [path];
    static override usage = Command.Usage({description});

    async execute(): Promise<void> {
      this.print(await this.makeClient().get(route));
    }
  };
}
