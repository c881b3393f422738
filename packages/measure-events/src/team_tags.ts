/** Bounds the number of teams that metrics name. */

/** Each name is a series at every node that has scheduled. */
const MAX_NAMED = 20;
const NO_TEAM = '(none)';
const OTHER = '(other)';

/** Names the teams with the highest total cost; a team that others exceed loses its name. */
export class TeamTags {
  private readonly totals = new Map<string, number>();
  private readonly named = new Set<string>();

  /** Adds the cost to the team's total and returns its tag. */
  record(team: string, cost: number): string {
    if (team === '') return NO_TEAM;
    const total = (this.totals.get(team) ?? 0) + cost;
    this.totals.set(team, total);
    if (this.named.has(team)) return team;
    if (this.named.size >= MAX_NAMED) {
      const least = this.findLeast();
      if (total <= this.findTotal(least)) return OTHER;
      this.named.delete(least);
    }
    this.named.add(team);
    return team;
  }

  private findLeast(): string {
    return [...this.named].reduce((least, team) =>
      this.findTotal(team) < this.findTotal(least) ? team : least,
    );
  }

  private findTotal(team: string): number {
    return this.totals.get(team) ?? 0;
  }
}
