/** Names of things; all are opaque strings compared for equality only. */

/** A machine as named by the platform's host list. */
export type HostId = string;
/** One life of a daemon process: a new one on every start. */
export type NodeIncarnation = string;
/** A model engine or plain service that requests are sent to. */
export type BackendServerId = string;
/** A set of backend servers that serve the same thing. */
export type PoolName = string;
/** A set of hosts that can fail together. */
export type FailureDomain = string;
/** A set of failure domains that are near each other. */
export type Region = string;
export type ModelName = string;
export type AdapterName = string;
export type ModelVersion = string;
export type TeamName = string;
export type EventId = string;
export type TemplateName = string;
/** A decided replica of a model on one backend server. */
export type SlotId = string;
/** The place of a record in the log. */
export type LogOffset = number;
