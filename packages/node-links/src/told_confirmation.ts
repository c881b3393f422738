/** Passes on as of when a configuration was known to be the newest. */
import {type HelloStatus, type Welcome} from './messages.js';
import {type ConfigurationConfirmation} from './node_links_options.js';

type ToldToHolder = Pick<
  HelloStatus,
  'configurationVersion' | 'confirmedBeatMs'
>;
type ToldByHolder = Pick<
  Welcome,
  'configurationVersion' | 'awakeBeatMs' | 'confirmedAgeMs'
>;

/** A welcome of the holder, and when it came. */
interface Beat {
  incarnation: string;
  beatMs: number;
  receivedAtMs: number;
}

/**
 * Guards against knowledge that seems younger than it is. Messages lie unread
 * while a process is frozen, so that an age counts from a time that its reader
 * has taken itself: a node counts from when it sent the heartbeat that is
 * answered, the holder from a beat of its own that the node has seen.
 */
export class ToldConfirmation {
  private beat: Beat | null = null;

  constructor(private readonly confirmation: ConfigurationConfirmation) {}

  /** For a heartbeat, on the clock of the holder that it goes to. */
  findBeatMs(holderIncarnation: string): number | null {
    const {beat} = this;
    const {asOfMs} = this.confirmation;
    if (beat?.incarnation !== holderIncarnation) return null;
    if (asOfMs === -Infinity) return null;
    return beat.beatMs + asOfMs - beat.receivedAtMs;
  }

  /** @param sentAtMs of the heartbeat that is answered. */
  takeWelcome(
    incarnation: string,
    {configurationVersion, awakeBeatMs, confirmedAgeMs}: ToldByHolder,
    sentAtMs: number,
  ): void {
    const {confirmation} = this;
    if (awakeBeatMs !== null) {
      const receivedAtMs = confirmation.nowMs;
      this.beat = {incarnation, beatMs: awakeBeatMs, receivedAtMs};
    }
    if (confirmedAgeMs === null) return;
    confirmation.noteConfirmed(configurationVersion, sentAtMs - confirmedAgeMs);
  }

  /** At the holder. */
  takeHello({configurationVersion, confirmedBeatMs}: ToldToHolder): void {
    if (confirmedBeatMs === null) return;
    const asOfMs = Math.min(confirmedBeatMs, this.confirmation.nowMs);
    this.confirmation.noteConfirmed(configurationVersion, asOfMs);
  }

  /** For the holder's answer. */
  describe(): Pick<Welcome, 'awakeBeatMs' | 'confirmedAgeMs'> {
    const {nowMs, asOfMs} = this.confirmation;
    const ageMs = nowMs - asOfMs;
    return {
      awakeBeatMs: nowMs,
      confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : null,
    };
  }
}
