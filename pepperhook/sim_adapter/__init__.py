"""The adapter to a simulator: runs policies in virtual time over standard input and output.

``codec`` reads batches and encodes replies, ``protocol`` defines the codes and layouts of records,
``instance`` translates the events of one balancer, ``encoder`` encodes its actions, and ``host``
answers batches for any number of instances. ``python -m pepperhook.sim_adapter`` runs it.
"""
