export default { fleet: 'harbour' };
