/** Exchanges between nodes when a configuration was last known to be current. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type HelloStatus, type Welcome} from './messages.js';
import {type ConfigurationConfirmation} from './node_links_options.js';

type HelloConfirmation = Pick<
  HelloStatus,
  'nodeName' | 'configurationVersion' | 'configurationAsOfBeatMs'
>;
type WelcomeConfirmation = Pick<
  Welcome,
  'configurationVersion' | 'awakeBeatMs' | 'confirmedAgeMs'
>;

/** The holder's clock reading in a `welcome`, and when it was received. */
interface HolderClockSample {
  incarnation: string;
  beatMs: number;
  receivedAtMs: number;
}

/**
 * Keeps a confirmation from appearing newer than it is when a message is read
 * late, such as after a freeze of the process. Ages are applied to a time that
 * the reader measured before: a node uses the send time of its heartbeat, the
 * holder the timestamp of a `welcome` that the node has received.
 */
export class ConfirmationExchange {
  private holderClock: HolderClockSample | null = null;

  constructor(private readonly confirmation: ConfigurationConfirmation) {}

  /** Time of the last confirmation on the holder's clock; null if unknown. */
  findAsOfBeatMs(holderIncarnation: string): number | null {
    const {holderClock} = this;
    const {asOfMs} = this.confirmation;
    if (holderClock?.incarnation !== holderIncarnation) return null;
    if (asOfMs === -Infinity) return null;
    return holderClock.beatMs + asOfMs - holderClock.receivedAtMs;
  }

  /** @param sentAtMs send time of the heartbeat that the welcome answers. */
  handleWelcome(
    {incarnation, nodeName}: Pick<DutyHolder, 'incarnation' | 'nodeName'>,
    {configurationVersion, awakeBeatMs, confirmedAgeMs}: WelcomeConfirmation,
    sentAtMs: number,
  ): void {
    const {confirmation} = this;
    if (awakeBeatMs !== null) {
      const receivedAtMs = confirmation.nowMs;
      this.holderClock = {incarnation, beatMs: awakeBeatMs, receivedAtMs};
    }
    if (confirmedAgeMs === null) return;
    const asOfMs = sentAtMs - confirmedAgeMs;
    confirmation.noteConfirmed(configurationVersion, asOfMs, nodeName);
  }

  /** Called on the holder for each heartbeat, as `readHello` returns it. */
  handleHello({
    nodeName,
    configurationVersion,
    configurationAsOfBeatMs,
  }: HelloConfirmation): void {
    if (configurationAsOfBeatMs === null) return;
    const asOfMs = Math.min(configurationAsOfBeatMs, this.confirmation.nowMs);
    this.confirmation.noteConfirmed(configurationVersion, asOfMs, nodeName);
  }

  /** Returns the holder's part of a `welcome`. */
  describe(): Pick<Welcome, 'awakeBeatMs' | 'confirmedAgeMs'> {
    const {nowMs, asOfMs} = this.confirmation;
    const ageMs = nowMs - asOfMs;
    return {
      awakeBeatMs: nowMs,
      confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    };
  }
}
