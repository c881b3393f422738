export {
  HostShare,
  type HostShareOptions,
  type HostsView,
} from './host_share.js';
