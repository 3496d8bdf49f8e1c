"""The two roles of a mesh process, sidecar and control node, and the parts that they are assembled from."""
