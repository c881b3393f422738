/** Finds the node that takes over the duty from this one. */
import {chooseSuccessor} from './duty_order.js';
import {type NodeLinksOptions, type Successor} from './node_links_options.js';
import {type NodeRoster, type RosterEntry} from './node_roster.js';

export interface SuccessorFinderOptions extends Pick<
  NodeLinksOptions,
  'self' | 'listNodes'
> {
  roster: NodeRoster;
}

export class SuccessorFinder {
  constructor(private readonly options: SuccessorFinderOptions) {}

  /** One that reaches backend servers, if any does. */
  find(): Successor | null {
    return this.findReaching() ?? this.choose(this.listOthers());
  }

  /** Null if no other node reaches backend servers. */
  findReaching(): Successor | null {
    return this.choose(
      this.listOthers().filter(({reachesServers}) => reachesServers),
    );
  }

  private choose(candidates: readonly RosterEntry[]): Successor | null {
    return chooseSuccessor(candidates, this.options.listNodes());
  }

  private listOthers(): RosterEntry[] {
    const {roster, self} = this.options;
    return roster
      .listServing()
      .filter(({incarnation}) => incarnation !== self.incarnation);
  }
}
